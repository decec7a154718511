Feature: Addresses given to callers, and the planned stop
  Guards against callers that are sent to an instance that cannot serve them, or cut off by a stop.

  Scenario: Only instances in service are given, own data centre first
    Guards against callers sent to leaving, suspect, dead or out instances, or across data centres without need.
    Then any view and orders give only alive, not ordered out instances, near ones first, while there are any

  Scenario: There is always an address
    Guards against an empty answer when operators took out everything or all others are dead.
    Then any view and orders give at least one address

  Scenario: Loaded instances are given less often
    Guards against callers that all run to one instance.
    Then an idle instance is preferred 10 to 1 to one with 9 calls in flight

  Scenario: A planned stop goes through its phases in time
    Guards against a stop that cuts off callers which still hold the address, or that never ends.
    Then it is leaving for entry_answer_s + 2 seconds, then draining, then ended

  Scenario: SIGTERM stops the process with exit code 0
    Guards against a process that dies at once from the signal or never leaves.
    Given a process that runs the shutdown task with short limits
    Then after two SIGTERMs it tells all phases and exits 0
