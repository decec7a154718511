Feature: Calls that no component has answered by their deadline
  Guards against callers that wait without end when a component loses a call, and against false alarms.

  Scenario: An instance resumes after a pause
    Guards against a breach that is reported, and an answer that is replaced, because the request's own time limit and
    the listener's are due in the same turn of the event loop.
    Given a call whose own time limit answers it at its deadline
    When the process is paused until a second after the deadline
    Then the call gets the answer of its own time limit
    And no invariant was breached

  Scenario: A component loses a call
    Guards against a call that is never answered.
    Given a call that no component answers
    When its deadline has passed by one second
    Then the listener has answered it with deadline_exceeded
    And one invariant was breached
