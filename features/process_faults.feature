@fleet
Feature: A complete system under failure
  Checks the system's guarantees with real processes: nine instances, engines, a plain service and the platform.

  Scenario: A killed instance's streams are cancelled at their engines
    Guards against engine memory that stays allocated to streams whose instance was killed.
    Given nine instances serve 15 requests a second for 18 s
    And 6 short, 1 long and 1 group stream are open at the instance "b0"
    When the instance "b0" is killed
    Then the engines hold none of its streams 10 s later
    And at least 8 of its streams were cancelled
    And every request is answered in full, except those lost with a killed instance
    And no guarantee was violated

  Scenario Outline: The table is down
    Guards against requests, orders and starting instances that block on a table which does not answer.
    Given the instance "c2" has ended
    And nine instances serve 15 requests a second for <load> s
    When the table is down for <outage> s by "<fault>"
    And the data centre "a" is taken out of service
    And the instance "c2" starts
    Then a call that must run at most once is refused immediately
    And a new configuration is refused immediately
    And the instance "c2" serves while the table is down
    And the data centre "a" got no new work from 5 s after its order until the outage ended
    And every request is answered in full
    And no guarantee was violated

    Examples: A short outage
      | fault  | outage | load |
      | silent | 20     | 22   |

    @long
    Examples: Long outages
      | fault  | outage | load |
      | silent | 60     | 64   |
      | refuse | 60     | 64   |

  Scenario: A data centre and endpoints leave and return
    Guards against new work for what operators took out of service, and against requests that an order cuts off.
    Given nine instances serve 15 requests a second for 28 s
    When the data centre "a" is out of service for 8 s
    Then the data centre "a" got no new work from 5 s after its order until it was in service
    When the endpoint "letter-4" is out of service and "letter-0" listed as leaving for 8 s
    Then neither endpoint got new work from 5 s after that until it was in service
    And both endpoints and the data centre "a" got work again
    And every request is answered in full
    And no lookup was refused
    And no guarantee was violated

  Scenario: A configuration is in force everywhere and never reverts
    Guards against instances that miss a version, revert to an older one after a late read, or accept two versions of the same number.
    Given nine instances serve 15 requests a second for 12 s
    When a configuration is published at the instance "a0"
    Then it is in force at all nine instances within 3 s
    When two configurations are published at once at "b0" and "c0"
    Then one is accepted and the answer to the other names the accepted version
    And it is in force at all nine instances within 3 s
    When the instance "a1" is killed and started while every other table answer is late
    Then no instance ever went back to an older version
    And every request is answered in full, except those lost with a killed instance
    And no guarantee was violated

  Scenario Outline: Instances are restarted under load
    Guards against a graceful shutdown that cuts off or refuses a request.
    Given nine instances serve 15 requests a second for <load> s, with answers of up to 8 s
    When the instances "<instances>" are restarted in turn
    Then every request is answered in full
    And no lookup was refused
    And no guarantee was violated

    Examples: One in each data centre at the same time
      | instances | load |
      | a0+b1+c2  | 13   |

    @long
    Examples: All nine, one after the other
      | instances                            | load |
      | a0, b0, c0, a1, b1, c1, a2, b2, c2   | 160  |

  Scenario: Open connections of engines freeze and never recover
    Guards against answers that wait for a dead connection, or that are generated twice instead of resumed.
    Given nine instances serve 15 requests a second for 12 s
    When all open connections of the engines "letter-0, letter-4" freeze three times
    Then every request is answered in full
    And streams were resumed
    And no guarantee was violated

  Scenario: An engine process is killed under load and started again
    Guards against requests that fail though another engine could take them, and against a restarted engine that gets no work or is overloaded in its cold start.
    Given nine instances serve 15 requests a second for 18 s
    When the engine process of "letter-0" is killed for 4 s
    Then every request is answered in full without retry, except answers cut off at killed engines
    And its engines "letter-0" and "letter-6" got work again
    And none of its engines got more than its cold-start limit
    And no guarantee was violated

  Scenario: Calls that must run at most once do so
    Guards against a second execution after a lost answer or a killed instance, and against "not run" answers for calls that ran.
    Given nine instances serve 5 requests a second for 10 s, and 10 calls a second, each retried with its key
    And every fifth answer of the plain service is lost
    And every third table answer is lost after the write took effect
    When the instance "b2" is killed
    And all calls without a result are retried after their deadline
    Then most calls were answered, and none ran twice or contradicted its answer
    And every request is answered in full, except those lost with a killed instance
    And no guarantee was violated

  Scenario: A cold engine never gets more work than its cold-start limit
    Guards against a coordinator and its successor, which together grant more than the limit when the first was paused or killed.
    Given nine instances overload cold engines with and without fencing
    When the coordinators of the cold engines are killed
    And their next coordinators are paused for 10 s and resumed
    Then no cold engine ever exceeded its cold-start limit
    And each cold engine reached its cold-start limit
    And no guarantee was violated
