Feature: Endpoint admission
  Guards against more work at a cold endpoint than its limit, and against permits, groups
  and streams that are never released.

  Scenario: The cold limit holds during pauses, crashes, outages and late messages
    Guards against a cold endpoint over its limit, because two coordinators grant at once
    or a new one does not count the permits of the old one.
    When 9 instances request permits for an endpoint that ignores fencing in 20 fuzzed histories
    And 9 instances request permits for an endpoint that checks fencing in 20 fuzzed histories
    Then the histories included cold starts, warm starts and new lease holders
    And endpoints moved between lease groups, left and returned

  Scenario: A lease holder that resumes after a pause grants nothing
    Guards against a holder that still relies on its lease after its process was paused.
    Given 9 instances with a coordinator
    When the fault "pause holders long" occurs
    And 20 s pass
    Then another instance has granted since
    And no grant came after one of a newer holder

  Scenario: No instance takes over while the table is down
    Guards against a second coordinator that took over without a write to the table.
    Given 9 instances with a coordinator
    When the fault "table down" occurs
    And the fault "kill holders" occurs
    And 30 s pass
    Then the lease is held by 0 instances
    When the fault "heal" occurs
    And 14 s pass
    Then another instance has granted since

  Scenario Outline: A holder continues without the table when all members promise
    Guards against a table outage that stops all work at cold endpoints, and against a
    candidate that takes over despite its promise.
    Given 9 instances with a coordinator
    When the fault "<outage>" occurs
    And 60 s pass
    Then the coordinator has granted in the last 10 s
    Examples:
      | outage          |
      | table down      |
      | cut holders off |

  Scenario: A holder stops without the table when a member does not promise
    Guards against a lease extension unknown to a member that could take over.
    Given 9 instances with a coordinator
    When another instance is paused for 60 s
    And the fault "table down" occurs
    And 30 s pass
    Then the coordinator has granted nothing in the last 10 s

  Scenario: A new coordinator counts the old one's permits
    Guards against a ledger that starts empty while work of the old coordinator still runs.
    Given 9 instances with a coordinator
    And streams that last up to 60 s
    When 20 s pass
    And the fault "kill holders" occurs
    And 40 s pass
    Then the cold endpoint never had more work than its limit
    And the lease is held by 1 instances

  Scenario: A takeover waits until the old holder's last permits have started or expired
    Guards against a new coordinator that reads the stream list before work in transit has arrived.
    When in 24 histories an instance unknown to all others takes over from a holder whose last grants are late, and grants in 20
    Then the cold endpoint never had more work than its limit

  Scenario: The coordinator of an endpoint's old lease group stops before that of the new one grants
    Guards against two coordinators of an endpoint when instances have different configuration versions in force.
    Given 9 instances with a coordinator
    And the engines in lease groups of at most 3
    And the coordinator of "engine-1" adopts versions 60 s late
    When lease groups of at most 4 are accepted
    And 25 s pass
    Then the old coordinator of "engine-1" has not adopted that version
    And "engine-1" has been granted under configuration version 3
    And the cold endpoint never had more work than its limit

  Scenario: A coordinator without the table gets no promise for an outdated lease group
    Guards against a lease extended by members that already know the endpoint's new group.
    Given 9 instances with a coordinator
    And the engines in lease groups of at most 3
    And the coordinator of "engine-1" adopts versions 60 s late
    And it is cut off from the table
    When lease groups of at most 4 are accepted
    And 25 s pass
    Then the old coordinator of "engine-1" has not adopted that version
    And "engine-1" has been granted under configuration version 3
    And the cold endpoint never had more work than its limit

  Scenario: A coordinator that missed a configuration version starts with a new ledger
    Guards against a ledger that lacks work granted meanwhile by another group's coordinator.
    Given 9 instances with a coordinator
    And the engines in lease groups of at most 3
    And the coordinator of "engine-1" adopts versions 60 s late
    When lease groups of at most 4 are accepted
    And 7 s pass
    Then "engine-1" has been granted under configuration version 3
    When it adopts versions immediately again
    And lease groups of at most 3 are accepted
    And 25 s pass
    Then "engine-1" has been granted under configuration version 4
    And the cold endpoint never had more work than its limit

  Scenario: A coordinator that cannot adopt the accepted version gives up the lease
    Guards against endpoints that get no permits while one instance cannot read a version.
    Given 9 instances with a coordinator
    And the only coordinator adopts versions 90 s late
    When lease groups of at most 3 are accepted
    And 30 s pass
    Then another instance has granted since

  Scenario: A holder coordinates only on a version that the table showed after the takeover
    Guards against a fencing number below that of an earlier coordinator with a newer version.
    Given the new holder of the lease of two endpoints
    Then a version shown before the takeover starts nothing
    And a version shown when the lease has lapsed starts nothing
    And a version shown after the takeover starts both endpoints with one announcement to each member
    And an announcement of a newer holder stops both endpoints

  Scenario: Lease groups are derived from the configuration and change little with it
    Guards against groups that differ between instances, are too large, or are reshuffled by a new endpoint.
    Then groups have at most the configured size whatever the order
    And adding an endpoint moves endpoints of one group only

  Scenario Outline: A lost answer to a lease write is read back
    Guards against a new holder that never learns that its takeover was written.
    Given a candidate whose takeover write got no answer and <effect>
    Then it has taken the lease once under epoch 1 when the table answers again
    Examples:
      | effect     |
      | took place |
      | was lost   |

  Scenario: Short requests go before long ones, and long ones leave a reserve
    Guards against long prompts that take the capacity that short ones need.
    Given a coordinator of a warm engine that is full
    When a long and then a short request ask for a permit and one is released
    Then the short request is granted and the long one waits
    And long requests never get more than 80% of the KV memory

  Scenario: Workspaces get permits in proportion to their weight
    Guards against a busy workspace that starves a small one.
    Given a coordinator of a warm engine that is full
    When workspaces of weight 3 and 1 queue 40 asks each and 40 permits are released
    Then workspace "three" got 28 to 32 of them

  Scenario: A coordinator in recovery counts the work on a list from after the quiescent instant
    Guards against grants based on a list that is too old, or on an older list that arrives later.
    Given a coordinator whose quiescent instant is second 5
    Then it grants 0 in second 4.9 after a list from second 4.5 with 0 streams
    And it grants 0 in second 6 after a list from second 5.4 with 0 streams
    And it grants 0 in second 7 after a list from second 5.8 with 2 streams
    And it grants 0 in second 8 after a list from second 5.4 with 0 streams
    And it grants 1 in second 9 after a list from second 8 with 1 streams

  Scenario: Permits whose grant was lost expire only by an engine's list
    Guards against a permit that is dropped while its work may still arrive, or that is never dropped.
    Then a permit is counted after a list from 1 s later, not from 2 s later

  Scenario: Work that reaches an engine after its cancel
    Guards against memory that an engine never frees, because the cancel travelled on another connection and arrived first.
    Given a coordinator that granted "ask-1" at second 10 whose permit was returned at second 11
    Then a list from second 10.9 that shows it cancels nothing
    And a list from second 11.1 that shows it cancels it, and counts it
    And a list from second 12 without it counts nothing

  Scenario: An instance does not use a grant that is no longer valid
    Guards against work that starts under a late or outdated grant, or one for another engine start.
    Given an instance that has an open ask
    Then a grant that arrives after the start limit is returned
    And a grant under an older epoch is returned
    And a duplicate of a grant does not return its permit
    And work does not start on a restarted engine, nor after the start limit
    And without a coordinator only a warm engine gets work, by the fixed share

  Scenario: A group reserves all of its engines or none
    Guards against two groups that each hold engines the other needs, and against permits that are not released.
    When groups reserve overlapping engines in 60 fuzzed histories
    Then every group got its engines and all permits were released

  Scenario: Two groups that want the same engines do not deadlock
    Guards against groups that each hold an engine that the other waits for.
    When two groups want the same engines in 200 histories
    Then one gets them within 3 s and the other within 3 s of its end

  Scenario: Only orphaned streams are found
    Guards against streams that hold memory forever, and against cancelling streams that are in use.
    Given a stream list with streams of alive, dead, restarted and unknown owners
    Then the dead owner's stream is cancelled at once, the others after 2.5 s
    And exactly one alive member is responsible for each endpoint

  Scenario: The components handle permits, cancels and outages
    Guards against an event without a handler, and a component that fails when an endpoint is down.
    Given the components with simulated table, peers and engines
    When an ask is made after 16 s
    Then it is granted with epoch 1 and the engine knows the epoch
    And a stream of a dead owner is cancelled at the engine
    When the engine is down and an ask is made
    Then it is not granted
    And an ask at a plain service is granted
    And a lease group that only a peer knows gets a promise for version 1 but not for version 0
    And no handler has failed
