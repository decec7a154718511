@fleet
Feature: A whole system under failure
  The design's targets, proved with real processes: nine instances, engines, a plain service and the platform.

  Scenario: A killed instance's streams are cancelled at their engines
    Guards against engine memory that stays with streams whose instance is gone.
    Given nine instances serve 15 requests a second for 18 s
    And 6 short, 1 long and 1 group stream are open at the instance "b0"
    When the instance "b0" is killed
    Then the engines hold none of its streams 10 s later
    And at least 8 of its streams were cancelled
    And every request is answered in full, but those lost with a killed instance
    And no rule was broken

  Scenario Outline: The table is down
    Guards against requests, orders and starts that wait for a table which does not answer.
    Given the instance "c2" has ended
    And nine instances serve 15 requests a second for <load> s
    When the table is down for <outage> s by "<fault>"
    And the data centre "a" goes out
    And the instance "c2" starts
    Then a call that may not be repeated is refused at once
    And a new configuration is refused at once
    And the instance "c2" serves while the table is down
    And the data centre "a" got no new work from 5 s after its order until the outage ended
    And every request is answered in full
    And no rule was broken

    Examples: A short outage
      | fault  | outage | load |
      | silent | 20     | 22   |

    @long
    Examples: Long outages
      | fault  | outage | load |
      | silent | 60     | 64   |
      | refuse | 60     | 64   |

  Scenario: A data centre and endpoints leave and return
    Guards against new work for what operators took out, and against requests that are cut off by an order.
    Given nine instances serve 15 requests a second for 28 s
    When the data centre "a" is out for 8 s
    Then the data centre "a" got no new work from 5 s after its order until it was back
    When the endpoint "letter-4" is out and "letter-0" listed as leaving for 8 s
    Then neither endpoint got new work from 5 s after that until it was back
    And both endpoints and the data centre "a" got work again
    And every request is answered in full
    And no lookup was refused
    And no rule was broken

  Scenario: A configuration is in force everywhere and never reverts
    Guards against instances that miss a version, return to an older one, or accept two of the same number.
    Given nine instances serve 15 requests a second for 12 s
    When a configuration is published at the instance "a0"
    Then it is in force at all nine instances within 3 s
    When two configurations are published at once at "b0" and "c0"
    Then one is accepted and the other is told what it lost to
    And it is in force at all nine instances within 3 s
    When the instance "a1" is killed and started while every other table answer is late
    Then no instance ever went back to an older version
    And every request is answered in full, but those lost with a killed instance
    And no rule was broken

  Scenario Outline: Instances are restarted under load
    Guards against a planned stop that cuts off a request or refuses one.
    Given nine instances serve 15 requests a second for <load> s, with answers of up to 8 s
    When the instances "<instances>" are restarted in turn
    Then every request is answered in full
    And no lookup was refused
    And no rule was broken

    Examples: One in each data centre at the same time
      | instances | load |
      | a0+b1+c2  | 13   |

    @long
    Examples: All nine, one after the other
      | instances                            | load |
      | a0, b0, c0, a1, b1, c1, a2, b2, c2   | 160  |

  Scenario: Open connections of engines go silent for good
    Guards against answers that wait for a dead connection, or that are made twice instead of resumed.
    Given nine instances serve 15 requests a second for 12 s
    When all open connections of the engines "letter-0, letter-4" go silent three times
    Then every request is answered in full
    And streams were resumed
    And no rule was broken

  Scenario: An engine process is killed under load and started again
    Guards against a dead engine that fails requests which could go elsewhere, stays without work, or is overrun when it starts cold.
    Given nine instances serve 15 requests a second for 18 s
    When the engine process of "letter-0" is killed for 4 s
    Then every request is answered in full at once, but answers cut with the killed engines
    And its engines "letter-0" and "letter-6" got work again
    And none of its engines got more in cold start than it bears
    And no rule was broken

  Scenario: Calls that may not be repeated run at most once
    Guards against a second execution after lost answers and deaths, and against untrue answers that say "not run".
    Given nine instances serve 5 requests a second for 10 s, and 10 calls a second, each repeated with its key
    And every fifth answer of the plain service is lost
    And every third table answer is lost after the write took effect
    When the instance "b2" is killed
    And all calls without a result are repeated after their deadline
    Then most calls were answered, and none ran twice or ran against its answer
    And every request is answered in full, but those lost with a killed instance
    And no rule was broken

  Scenario: A cold engine never gets more work than it bears
    Guards against two coordinators, or one that woke, granting more than the limit together.
    Given nine instances press on cold engines with and without fencing
    When the coordinators of the cold engines are killed
    And their next coordinators are paused for 10 s and wake
    Then no cold engine ever had more work than it bears
    And each cold engine had as much work as it bears
    And no rule was broken
