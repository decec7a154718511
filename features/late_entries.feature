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
