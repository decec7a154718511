@fleet
Feature: Endpoints that say which requests they take
  Guards against work for an endpoint in need that it has asked not to get. The fleet is three instances, the store and
  five endpoints as processes.

  # The bound is that of the users' rule: from contactMs after the limit was first named, one and a half times the limit and
  # 5 requests in any 4 seconds.
  Scenario: An engine that names a rate limit, beside others
    Guards against instances that ignore an endpoint's rate limit, or each keep to it alone: on norrstrom-paminn
    (second1) nine instances sent 13 requests in 4 seconds to an engine that takes 1.2 a second.
    Given a relay fleet
    When the busiest engine names a limit of 1.2 requests a second
    And 20 streams a second are sent through all instances for 9 seconds
    Then this engine gets in no 4 seconds more than its limit allows
    And every stream is answered

  Scenario: All endpoints of a service name a rate limit, and one instance has all of the traffic
    Guards against an instance that may use only its own part of a limit, and against requests that are held or fail
    where no endpoint takes more.
    Given a relay fleet
    When all plain endpoints name a limit of 2 requests a second
    And 10 lookups a second are sent through one instance for 9 seconds
    Then each plain endpoint gets in no 4 seconds more than its limit allows
    And at least 20 lookups are answered, and the others refused within 0.5 seconds with a time to wait

  Scenario: An engine that stops naming its limit is free again
    Guards against an engine that stays idle after its need is over.
    Given a relay fleet
    When the busiest engine names a limit of 0.5 requests a second
    And 20 streams a second are sent through all instances for 5 seconds
    And this engine names no limit any more
    And 20 streams a second are sent through all instances for 9 seconds
    Then this engine got at least 10 streams in the last 3 seconds
    And every instance has logged that the limit began and ended

  Scenario: An engine names a limit that is no number
    Guards against an engine's bytes that stop a process, hold back the engine or fill the log.
    Given a relay fleet
    When the busiest engine names the limit "nan"
    And 20 streams a second are sent through all instances for 3 seconds
    Then every stream is answered
    And this engine got at least 10 streams in the last 3 seconds
    And each instance has logged the unreadable limit at most once
    And no log of an instance has an error of the program itself

  # The bound is that of the users' rule: drainMs after the instance has passed on the first such answer.
  Scenario: An engine says in its answers that it leaves, and its entry does not
    Guards against requests to an engine that has said that it is about to stop.
    Given a relay fleet
    When the busiest engine says in its answers that it leaves
    And 20 streams a second are sent through all instances for 5 seconds
    Then this engine gets no request 2 seconds after its first such answer through each instance
    And every stream is answered
    When this engine has started again under its id and says nothing
    And 20 streams a second are sent through all instances for 3 seconds
    Then it gets streams again through each instance

  Scenario: The entry of an engine that leaves is removed and comes back
    Guards against requests to an engine that has said that it is about to stop: after its entry had lapsed and come
    back, with the same start, each of 40 instances sent it one more.
    Given a relay fleet
    When the busiest engine says in its answers that it leaves
    And 20 streams a second are sent through all instances for 3 seconds
    And the entry of this engine is removed and comes back
    And 20 streams a second are sent through all instances for 3 seconds
    Then this engine gets no request 2 seconds after its first such answer through each instance
    And every stream is answered

  # The bound is that of the users' rule: two requests of an instance from half a second after the rejection on.
  Scenario: An engine that is full asks for a pause
    Guards against requests to an engine that has told an instance how long it wants none.
    Given a relay fleet
    When the busiest engine rejects requests and asks for a pause of 3 seconds
    And 20 streams a second are sent through all instances for 6 seconds
    Then it gets at most 2 requests of each instance from 0.5 seconds after a rejection to the end of the pause
    And every stream is answered

  Scenario: All endpoints of a service ask for a pause
    Guards against callers that come back too early, and against requests that are held while no endpoint takes them.
    Given a relay fleet
    When all plain endpoints reject requests and ask for a pause of 3 seconds
    And 10 lookups a second are sent through one instance for 2 seconds
    Then all are refused within 0.5 seconds, the last one with a wait between 0.5 and 3 seconds
    And each plain endpoint gets at most 2 requests from 0.5 seconds after a rejection to the end of the pause
