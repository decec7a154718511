Feature: Members and the links between them
  Guards against instances that hold a live one for dead or a dead one for alive.

  Scenario: A live, reachable member is seen alive again after any faults
    Guards against a false suspicion that nobody refutes, and against a restart that is taken for its earlier boot.
    Then after any losses, delays, pauses, cuts and restarts all live members agree

  Scenario: A dead member is seen dead in time
    Guards against callers and leases that wait for an instance that is gone.
    Then all nine members see any death within 4 seconds

  Scenario: A paused member holds nobody for dead when it wakes
    Guards against an instance that was stopped for some seconds and then takes over the work of all others.
    Given 9 members that know each other
    Then one that is paused for 20 seconds suspects nobody when it wakes
    And after 3 seconds all members are seen alive

  Scenario: A member that leaves is seen leaving at once
    Guards against callers that are sent to an instance about to stop, and against a new boot that is held for the earlier one.
    Given 9 members that know each other
    Then one that leaves is seen leaving by all others after 0.1 seconds
    When it restarts
    Then after 1 seconds all members are seen alive

  Scenario: A dead member is forgotten only when the list has dropped it
    Guards against a fleet that pings the addresses of replaced instances for ever, and against a list in an outage that makes members forgotten.
    Given 9 members that know each other
    Then a dead one is remembered in an outage of the list and while listed
    And it is forgotten after the list dropped it

  Scenario Outline: Messages of membership stay within the budget
    Guards against a control cost that grows with the fleet.
    Given <size> members that know each other
    When <seconds> seconds pass
    Then each member sends and receives under 8000 bytes a second on average

    Examples:
      | size | seconds |
      | 9    | 60      |
      | 350  | 10      |

  Scenario: A silent link is replaced
    Guards against a connection that goes silent for good and cuts an instance off while new connections work.
    Given two instances over loopback that see each other alive
    When the connection to the second one goes silent
    Then a new connection is made and a message arrives over it

  Scenario: Malformed messages are dropped and counted
    Guards against a peer that stops the process or fills its memory by broken messages.
    Given two instances over loopback that see each other alive
    Then broken and oversized messages are counted, and later ones still arrive
