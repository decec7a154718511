@fleet
Feature: The store has lost its history and its reads are behind
  Guards against instances that take a read for current although the store itself has said that it has newer changes: on
  norrstrom-paminn and pjms-router confirmed versions were not in force for 4 to 6 s, proper requests were refused with
  404 and 401, and requests reached endpoints that leave. The bound is that of the users' rules, 2 s after the store's
  acknowledgement. The fleet is nine instances, the store and its endpoints as processes.

  Scenario Outline: A version that is confirmed while the store tells no changes
    Guards against routes and keys that are refused with 404 and 401 although they were added, and against a route that
    is served after its removal.
    Given nine instances behind a store
    When a version with another route and another key is confirmed while reads fall behind, <manner>
    Then every instance handles requests by it from 2 seconds after its acknowledgement until reads are current

    Examples:
      | manner                                |
      | for 6 s                               |
      | sliding for 6 s                       |

    Examples: Waits that end without changes and name a newer version
      | manner                                |
      | and empty answers name newer versions |

  Scenario Outline: Changes of each kind in fleets of other sizes
    Guards against changes that are late where instances follow the store by other rules: all of them in a small fleet, a
    few in a large one.
    Given <count> instances behind a store
    And no instance has logged that it has lost the store
    And 60 lookups a second are sent through all instances for 9 seconds
    When a plain endpoint says that it leaves and another one's entry is removed while reads fall behind
    And a version with another route and another key is confirmed meanwhile
    Then every instance handles requests by it from 2 seconds after its acknowledgement until reads are current
    And no lookup reaches either later than 2 seconds after its acknowledgement

    Examples:
      | count |
      | 3     |
      | 40    |

  Scenario: Further versions while reads are behind
    Guards against instances that learn of the first version only, and of the next ones when reads are current.
    Given nine instances behind a store
    When three versions are confirmed one after the other while reads are behind
    Then every instance handles requests by each of them in time

  Scenario: An endpoint that leaves while the store tells no changes
    Guards against requests that reach an endpoint seconds after its leaving was acknowledged.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 9 seconds
    When a plain endpoint says that it leaves and another one's entry is removed while reads fall behind
    Then no lookup reaches either later than 2 seconds after its acknowledgement

  Scenario: A data centre that is evacuated while the store tells no changes
    Guards against requests that reach the endpoints of a data centre that is out of service.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 9 seconds
    When a data centre is evacuated while reads fall behind
    Then no lookup reaches its endpoints later than 2 seconds after its acknowledgement

  Scenario: A data centre that is evacuated and taken back while reads are behind
    Guards against a data centre that stays out of service: its return had the number of a copy that is behind, which is
    lower than that of the evacuation.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 14 seconds
    When a data centre is evacuated while reads fall behind
    And it is taken back 2.5 seconds later
    Then its endpoints get lookups again from 2 seconds after that

  Scenario: Instances that start while reads are behind
    Guards against instances that start with an old configuration and keep it.
    Given nine instances behind a store
    When a version with another route and another key is confirmed while reads fall behind, for 6 s
    And two instances are killed and started
    Then every instance handles requests by it from 2 seconds after its acknowledgement until reads are current

  Scenario: The store refuses to check rows while its reads are behind
    Guards against final refusals by an instance that knows that its configuration is old: what it can't decide is
    refused with 503.
    Given nine instances behind a store
    When a version with another route and another key is confirmed while reads fall behind and checks are refused
    Then no instance refuses requests on it with 404 or 401 from 2 seconds after its acknowledgement
    And every instance handles requests by it once reads are current
