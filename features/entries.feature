Feature: Addresses given to callers, and the planned stop
  Guards against callers that are sent to an instance that cannot serve them, or are cut off by a planned stop.

  Scenario: Only instances in service are given, own data centre first
    Guards against callers sent to instances that are leaving, suspect, dead or out of service, or to another data centre without need.
    Then any view and orders give only alive instances in service, own data centre first, while there are any

  Scenario: There is always an address
    Guards against an empty answer when operators took everything out of service or all other instances are dead.
    Then any view and orders give at least one address

  Scenario: Loaded instances are given less often
    Guards against callers that all choose the same instance.
    Then an idle instance is preferred 10 to 1 to one with 9 calls in flight

  Scenario: A planned stop goes through its phases in time
    Guards against a stop that cuts off callers that still use the address, and against one that never ends.
    Then it is leaving for entry_answer_s + 2 seconds, then draining, then ended

  Scenario: A planned stop ends its drain at the time it has announced
    Guards against a process that is killed before it has answered, because each late check made its stop longer.
    Then a drain that began 0.09 seconds late still ends at the cut-off time
    And a check is due at the moment of each change of the phase

  Scenario: SIGTERM stops the process with exit code 0
    Guards against a process that the signal kills at once, or that never ends.
    Given a process that runs the shutdown task with short limits
    Then after two SIGTERMs it goes through all phases and exits with 0

  Scenario: SIGTERM ends the wait of an idle process
    Guards against a signal that arrives just before the wait for events and takes effect only after it.
    Given a process that runs the shutdown task with short limits
    Then after a SIGTERM that interrupts no system call it goes through all phases and exits with 0
