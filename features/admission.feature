Feature: Endpoint admission
  Guards against more work at a cold endpoint than it bears, and against permits, groups
  and streams that are never released.

  Scenario: The cold limit holds through pauses, deaths, outages and late messages
    Guards against two coordinators, or a new one that forgets the old one's permits,
    together starting more work at a cold endpoint than it bears.
    When 9 instances press an endpoint that ignores fencing in 20 fuzzed histories
    And 9 instances press an endpoint that checks fencing in 20 fuzzed histories
    Then the histories had cold starts, warm starts and changes of holder
    And endpoints moved between lease groups, left and returned

  Scenario: A paused holder that wakes grants nothing
    Guards against a holder that trusts its lease after standing still.
    Given 9 instances with a coordinator
    When the fault "pause holders long" occurs
    And 20 s pass
    Then another instance has granted since
    And no grant came after one of a newer holder

  Scenario: Nobody takes over while the table is down
    Guards against a second coordinator that no table write has made.
    Given 9 instances with a coordinator
    When the fault "table down" occurs
    And the fault "kill holders" occurs
    And 30 s pass
    Then the lease is held by 0 instances
    When the fault "heal" occurs
    And 14 s pass
    Then another instance has granted since

  Scenario Outline: A holder goes on without the table when all members promise
    Guards against a table outage that stops all work at cold endpoints, and against a
    candidate that takes over after it promised not to.
    Given 9 instances with a coordinator
    When the fault "<outage>" occurs
    And 60 s pass
    Then the coordinator has granted in the last 10 s
    Examples:
      | outage          |
      | table down      |
      | cut holders off |

  Scenario: A holder stops without the table when a member does not promise
    Guards against an extension that one member, able to take over, knows nothing of.
    Given 9 instances with a coordinator
    When another instance is paused for 60 s
    And the fault "table down" occurs
    And 30 s pass
    Then the coordinator has granted nothing in the last 10 s

  Scenario: A new coordinator counts the old one's permits
    Guards against a ledger that starts empty while old work still runs.
    Given 9 instances with a coordinator
    And streams that last up to 60 s
    When 20 s pass
    And the fault "kill holders" occurs
    And 40 s pass
    Then the cold endpoint never had more work than its limit
    And the lease is held by 1 instances

  Scenario: A takeover waits until the old holder's last permits have started or lapsed
    Guards against a new coordinator that reads the stream list before work still on its way is there.
    When in 24 histories an instance that nobody knows takes over from a holder whose last grants are late, and grants in 20
    Then the cold endpoint never had more work than its limit

  Scenario: The coordinator of an endpoint's old lease group stops before that of the new one grants
    Guards against two coordinators when instances have different configuration versions in force.
    Given 9 instances with a coordinator
    And the engines in lease groups of at most 3
    And the coordinator of "engine-1" adopts versions 60 s late
    When lease groups of at most 4 are accepted
    And 25 s pass
    Then the old coordinator of "engine-1" has not adopted that version
    And "engine-1" has been granted under configuration version 3
    And the cold endpoint never had more work than its limit

  Scenario: A coordinator without the table gets no promise for a lease group of the past
    Guards against an extension by members that know of the endpoint's new group.
    Given 9 instances with a coordinator
    And the engines in lease groups of at most 3
    And the coordinator of "engine-1" adopts versions 60 s late
    And it is cut off from the table
    When lease groups of at most 4 are accepted
    And 25 s pass
    Then the old coordinator of "engine-1" has not adopted that version
    And "engine-1" has been granted under configuration version 3
    And the cold endpoint never had more work than its limit

  Scenario: A coordinator that missed a configuration version starts anew
    Guards against a ledger without the work that another group's coordinator granted meanwhile.
    Given 9 instances with a coordinator
    And the engines in lease groups of at most 3
    And the coordinator of "engine-1" adopts versions 60 s late
    When lease groups of at most 4 are accepted
    And 7 s pass
    Then "engine-1" has been granted under configuration version 3
    When it adopts versions at once again
    And lease groups of at most 3 are accepted
    And 25 s pass
    Then "engine-1" has been granted under configuration version 4
    And the cold endpoint never had more work than its limit

  Scenario: A coordinator that cannot adopt the accepted version leaves the lease to another
    Guards against endpoints without permits for as long as one instance cannot read a version.
    Given 9 instances with a coordinator
    And the only coordinator adopts versions 90 s late
    When lease groups of at most 3 are accepted
    And 30 s pass
    Then another instance has granted since

  Scenario: A holder coordinates on a version that the table showed after the takeover
    Guards against a fencing number below that of a coordinator before, who had a newer version.
    Given the new holder of the lease of two endpoints
    Then a version shown before the takeover starts nothing
    And a version shown when the lease has lapsed starts nothing
    And a version shown after the takeover starts both endpoints with one announcement to each member
    And an announcement of a newer holder stops both endpoints

  Scenario: Lease groups follow from the configuration and change little with it
    Guards against groups on which instances disagree, that are too large, or that a new endpoint reshuffles.
    Then groups have at most the configured size whatever the order
    And one endpoint more moves endpoints of one group only

  Scenario Outline: A lost answer to a lease write is read back
    Guards against a takeover whose winner never learns that it won.
    Given a candidate whose takeover write got no answer and <effect>
    Then it holds the lease once under epoch 1 when the table answers again
    Examples:
      | effect     |
      | took place |
      | was lost   |

  Scenario: Shorts go before longs and longs leave a reserve
    Guards against long prompts that take the room that short ones need.
    Given a coordinator of a warm engine that is full
    When a long and then a short ask for a permit and one is released
    Then the short is granted and the long waits
    And longs never get more than 80% of the KV memory

  Scenario: Workspaces share by weight
    Guards against a busy workspace that starves a small one.
    Given a coordinator of a warm engine that is full
    When workspaces of weight 3 and 1 queue 40 asks each and 40 permits come free
    Then workspace "three" got 28 to 32 of them

  Scenario: A coordinator in recovery counts what a list from after the quiescent instant shows
    Guards against a start on a list that is too old, or on one that an older list has replaced.
    Given a coordinator whose quiescent instant is second 5
    Then it grants 0 in second 4.9 after a list from second 4.5 with 0 streams
    And it grants 0 in second 6 after a list from second 5.4 with 0 streams
    And it grants 0 in second 7 after a list from second 5.8 with 2 streams
    And it grants 0 in second 8 after a list from second 5.4 with 0 streams
    And it grants 1 in second 9 after a list from second 8 with 1 streams

  Scenario: Permits whose grant was lost lapse only by an engine's list
    Guards against a permit that is forgotten while its work may still arrive, or kept for good.
    Then a permit is counted after a list from 1 s later, not from 2 s later

  Scenario: Work that reaches an engine after its cancel
    Guards against memory that an engine keeps for good, since the cancel came on another connection and was first.
    Given a coordinator that granted "ask-1" at second 10 and got it back at second 11
    Then a list from second 10.9 that shows it cancels nothing
    And a list from second 11.1 that shows it cancels it, and counts it
    And a list from second 12 without it counts nothing

  Scenario: An instance refuses what it may not use
    Guards against starts under a late, an old or a mismatched grant.
    Given an instance that has an ask under way
    Then a grant that arrives after the start limit is given back
    And a grant under an older epoch is given back
    And a grant that arrives twice does not go back
    And work does not start on another engine start, nor after the limit
    And without a coordinator only a warm engine gets work, by the fixed share

  Scenario: Groups of engines are all or nothing
    Guards against two groups that each hold half of what the other needs, and permits left behind.
    When groups reserve overlapping engines in 60 fuzzed histories
    Then every group got its engines and all permits were released

  Scenario: Two groups never wait for each other
    Guards against groups that each hold an engine which the other waits for.
    When two groups want the same engines in 200 histories
    Then one has them within 3 s and the other 3 s after its end

  Scenario: Orphaned streams are found and no others
    Guards against streams that hold memory for good, and against cancelling live ones.
    Given a stream list with streams of alive, dead, restarted and unknown owners
    Then the dead owner's stream is cancelled at once, the others after 2.5 s
    And exactly one alive member is responsible for each endpoint

  Scenario: The components carry permits, cancels and outages
    Guards against wiring that loses an event, and a component that fails on an endpoint that is down.
    Given the components with stand-ins for table, peers and engines
    When an ask is made after 16 s
    Then it is granted with epoch 1 and the engine knows the epoch
    And a stream of a dead owner is cancelled at the engine
    When the engine is down and an ask is made
    Then it is not granted
    And an ask at a plain service is granted
    And a lease group that only a peer knows gets a promise for version 1 but not for version 0
    And no handler has failed
