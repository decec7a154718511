Feature: The store takes an endpoint's entry late
  Guards against instances that use whatever entry the store took last. A write without an answer may be performed seconds
  later, after newer ones of the same endpoint.

  # The bound is that of the users' rule: drainMs, from the acknowledgement of the leaving.
  @fleet
  Scenario Outline: An endpoint leaves, and then an earlier entry of it is taken
    Guards against requests to an endpoint whose leaving was acknowledged: three instances sent it 20 to 23 more once the
    store had performed a check-in 5.6 s late.
    Given <count> instances behind a store
    And 60 lookups a second are sent through all instances for 7 seconds
    When a plain endpoint <leaves>, and then an earlier entry of it is taken <manner>
    Then no lookup reaches it later than 2 seconds after its acknowledgement

    Examples:
      | count | leaves                             | manner                          |
      | 3     | says that it leaves                | once                            |
      | 3     | says that it leaves                | twice                           |
      | 3     | says that it leaves                | in another form                 |
      | 3     | says that it leaves                | as the store loses its history  |
      | 3     | is removed                         | once                            |
      | 3     | is removed                         | as the store loses its history  |
      | 3     | says that it leaves and is removed | once                            |
      | 9     | says that it leaves                | once                            |

  @fleet
  Scenario: An instance starts after an endpoint was removed, and then an earlier entry of it is taken
    Guards against an instance that has seen only the late entry: one that started 0.2 s after the removal sent the
    endpoint 179 requests in 3.6 s.
    Given 3 instances behind a store
    And 60 lookups a second are sent through all instances for 1 seconds
    When a plain endpoint is removed, and an instance starts right after that
    And an earlier entry of it is taken 4 seconds after the removal, with 60 lookups a second for 3 seconds
    Then no lookup reaches it later than 2 seconds after its acknowledgement

  Scenario Outline: An older entry changes nothing
    Guards against an endpoint that counts as ready, listed, warm or elsewhere again because of an entry that it wrote
    earlier.
    Given an instance that knows an endpoint by its entry 5
    When that endpoint <course>
    And its entry 3 is taken <how>
    Then the instance knows of it what it knew before

    Examples:
      | course                                    | how                         |
      | says that it leaves                       | late                        |
      | says that it leaves                       | late, and then its entry 4  |
      | says that it leaves                       | within the same answer      |
      | says that it leaves                       | and all rows are read again |
      | is removed                                | late                        |
      | is removed                                | within the same answer      |
      | is removed                                | and all rows are read again |
      | says that it leaves and is removed        | late                        |
      | says that it leaves and is removed        | within the same answer      |
      | is cold                                   | late                        |
      | moves to another address                  | late                        |
      | writes an entry with a very large number  | late                        |
      | starts again and counts from 1            | late                        |
      | starts again, counts from 1 and is removed | late                       |
      | leaves, lapses and writes that again      | within the same answer      |

  Scenario Outline: An instance that has started learns from a peer what was removed
    Guards against an endpoint that counts as listed although the instance's peers know that it was removed, and against
    one that is dropped although it was written again.
    Given an instance that knows <known>
    When a peer tells it that the endpoint was removed after its entry 6
    And the endpoint's entry <entry> is taken
    Then the instance uses it <uses>

    Examples:
      | known                         | entry | uses  |
      | no endpoint                   | 3     | never |
      | no endpoint                   | 7     | now   |
      | an endpoint by its entry 3    | 4     | never |
      | an endpoint by its entry 3    | 7     | now   |
      | an endpoint by its entry 7    | 8     | all the time |
      | an endpoint that was removed after its entry 5 | 6 | now   |
      | an endpoint that was removed after its entry 5 | 3 | never |

  Scenario: An instance that starts asks its peers
    Guards against an instance that asks nobody, or asks for ever.
    Given an instance that knows no endpoint
    When it learns of 4 live peers
    Then it asks 3 of them, and no more once 3 have answered

  Scenario Outline: A newer entry is used
    Guards against an endpoint that stays out of use because an entry of it was ignored.
    Given an instance that knows an endpoint by its entry 5
    When that endpoint <course>
    Then the instance uses it

    Examples:
      | course                                              |
      | starts again and counts from 1                      |
      | starts again and counts from 1 after it was removed |
      | lapses and writes again                             |
      | lapses and comes back as it was                     |
      | says that it leaves, and then that it does not      |
      | writes entries without a number                     |

  Scenario: A wrong entry with a large number does not last
    Guards against an endpoint that stays out of use because another writer named a number that it never reaches.
    Given an instance that knows an endpoint by its entry 5
    When another writer's entry 1000000 says that it leaves, and its own entry 6 does not
    Then the instance does not use it, and logs both numbers
    And 29 seconds later the instance does not use it
    And 31 seconds later the instance uses it, and logs that
    And its next entry is used at once
