@fleet
Feature: The store comes back from an older copy
  Guards against instances that order by the numbers of the store alone, which it gives out again after it was restored:
  on the bench confirmed versions were not in force from then on, and proper requests were refused with 404. The bound is
  that of the users' rules, 2 s after the store's acknowledgement. The fleet, the store and its endpoints are processes.

  Scenario Outline: Versions that are confirmed after the store was restored
    Guards against versions that an instance takes for known, since their rows have numbers below those of lost ones.
    Given <count> instances behind a store
    When version 2 is confirmed and lost, as the store comes back from a copy <times>
    And it is written again, and 3 more versions each 1 second after the last
    Then every instance handles requests by each of them in time

    Examples:
      | count | times             |
      | 3     | once              |
      | 9     | once              |
      | 9     | twice             |
      | 9     | with reads behind |
      | 40    | once              |

  Scenario: A version that is lost stays in force
    Guards against a configuration that reverts to an older one until the operator has written it again.
    Given nine instances behind a store
    When version 2 is confirmed and lost, as the store comes back from a copy once
    Then every instance handles requests by it for 4 seconds

  Scenario: Instances that start after the store was restored
    Guards against instances that start with the numbers of the new era among others that know those of the old one.
    Given nine instances behind a store
    When version 2 is confirmed and lost, as the store comes back from a copy once
    And it is written again, and 2 more versions each 1 second after the last
    And two instances are killed and started
    Then every instance handles requests by each of them once it has started
    And the store has the rows of all instances

  Scenario Outline: Endpoints whose leaving is lost
    Guards against requests to an endpoint whose leaving was acknowledged before the store lost it.
    Given <count> instances behind a store
    And 60 lookups a second are sent through all instances for 12 seconds
    When a plain endpoint says that it leaves, another one's entry is removed, and the store loses both
    Then no lookup reaches either later than 2 seconds after its acknowledgement

    Examples:
      | count |
      | 9     |
      | 40    |

  Scenario: An evacuation that is lost
    Guards against requests to a data centre that operators have taken out.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 12 seconds
    When a data centre is evacuated and the store loses it
    Then no lookup reaches its endpoints later than 2 seconds after its acknowledgement

  Scenario: An evacuation whose end is lost
    Guards against a data centre that gets nothing since the store has its evacuation again.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 14 seconds
    When a data centre is evacuated, taken back, and the store loses the latter
    Then its endpoints get lookups again from 2 seconds after that

  Scenario: A new endpoint that is lost
    Guards against an endpoint that is dropped before it has written its entry again, and against one that stays for good
    although it doesn't.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 16 seconds
    When two plain endpoints write their first entries, and the store loses them
    And one of them writes its entry again 2 seconds after the store's return
    Then that one gets lookups all the time, and the other one none later than 5 seconds after the store's return

  Scenario Outline: An entry that is lost, written again as it was, and removed later
    Guards against a removal in the new era that is taken for a loss, so that an endpoint gets requests for 3 s more.
    Given <count> instances behind a store
    And 60 lookups a second are sent through all instances for 16 seconds
    When a plain endpoint's first entry is lost, written again as it was, and removed 3 seconds later
    Then no lookup reaches its endpoints later than 2 seconds after its acknowledgement

    Examples:
      | count |
      | 9     |
      | 40    |

  Scenario: Instances that start before a lost version is written again
    Guards against starters that serve an older configuration than their peers.
    Given nine instances behind a store
    When version 2 is confirmed and lost, as the store comes back from a copy once
    And two instances are killed and started
    Then every instance handles requests by it for 4 seconds

  Scenario: Instances that start before a lost leaving is written again
    Guards against starters that use an endpoint whose leaving was acknowledged.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 12 seconds
    When a plain endpoint says that it leaves, another one's entry is removed, and the store loses both
    And two instances are killed and started
    Then no lookup reaches either later than 2 seconds after its acknowledgement

  Scenario: Instances that start before the end of an evacuation is written again
    Guards against one starter that evacuates a data centre again for all.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 14 seconds
    When a data centre is evacuated, taken back, and the store loses the latter
    And two instances are killed and started
    Then its endpoints get lookups again from 2 seconds after that

  Scenario: Instances that start between the end of an evacuation and its loss
    Guards against a starter that never had the evacuation, takes it for news when the store comes back with it, and
    evacuates the data centre again for all.
    Given nine instances behind a store
    And 60 lookups a second are sent through all instances for 14 seconds
    When a data centre is evacuated and taken back, two instances are restarted, and the store loses the end
    Then its endpoints get lookups again from 2 seconds after that
