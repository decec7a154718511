Feature: Members and the links between them
  Guards against instances that treat a live member as dead or a dead one as alive.

  Scenario: A live, reachable member is seen alive again after any faults
    Guards against a false suspicion that is never refuted, and against a restarted member that is mistaken for its earlier boot.
    Then after any losses, delays, pauses, partitions and restarts all live members agree

  Scenario: A dead member is seen dead in time
    Guards against callers and leases that wait for an instance that is gone.
    Then all nine members see any death within 4 seconds

  Scenario: A paused member does not declare others dead when it resumes
    Guards against an instance that was stopped for some seconds, finds all acks overdue and takes over the work of all others.
    Given 9 members that know each other
    Then one that is paused for 20 seconds suspects nobody when it resumes
    And after 3 seconds all members are seen alive

  Scenario: A member that leaves is seen leaving at once
    Guards against callers that are sent to an instance that is about to stop, and against a new boot that is mistaken for
    the earlier one.
    Given 9 members that know each other
    Then one that leaves is seen leaving by all others after 0.1 seconds
    When it restarts
    Then after 1 seconds all members are seen alive

  Scenario: A dead member is forgotten only after the list has dropped it
    Guards against a fleet that never stops pinging the addresses of replaced instances, and against members that are forgotten
    because the list has an outage.
    Given 9 members that know each other
    Then a dead one is remembered during an outage of the list and while it is listed
    And it is forgotten after the list dropped it

  Scenario Outline: Membership messages stay within the budget
    Guards against control traffic of each member that grows with the fleet.
    Given <size> members that know each other
    When <seconds> seconds pass
    Then each member sends and receives under 8000 bytes a second on average

    Examples:
      | size | seconds |
      | 9    | 60      |
      | 350  | 10      |

  Scenario: A silent link is replaced
    Guards against a connection that stops delivering without an error and isolates an instance although new connections work.
    Given two instances over loopback that see each other alive
    When the connection to the second one goes silent
    Then a new connection is made and a message arrives over it

  Scenario: A member with an address that is none hides no other member
    Guards against a message that does not reach the members after one whose address a peer announced wrongly.
    Given two instances over loopback that see each other alive
    When the first one learns of a member without a host, and sends a message to it and to the second one
    Then the second one gets the message

  Scenario: Malformed messages are dropped and counted
    Guards against a peer whose malformed messages stop the process or fill its memory.
    Given two instances over loopback that see each other alive
    Then malformed and oversized messages are counted, and later ones still arrive
