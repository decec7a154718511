Feature: Quarantine of prompt parts that crash endpoints
  Guards against requests of one kind that crash endpoint after endpoint, and against refusing sound requests that share
  a caller or other parts of their prompt with them.

  Scenario: A part whose requests crash three endpoints is quarantined
    Guards against endless crashes by one part, and against a quarantine of the first part that it shares with others.
    Given an instance without evidence
    When a request with "first deadly" crashes "e-1"
    And a request with "first" succeeds
    And requests with "first deadly" crash "e-2 e-3"
    Then nothing is quarantined 0.29 seconds later
    And "deadly" is quarantined 0.02 seconds later
    And requests with "first deadly" are refused because of "deadly"
    And requests with "first other" are not refused

  Scenario: Two crashes are not enough
    Guards against a quarantine because of a request that met two crashes by chance.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2"
    Then nothing is quarantined 5 seconds later

  Scenario: Several reports of one crash count once
    Guards against a quarantine because many requests with the same part ran at one endpoint that crashed.
    Given an instance without evidence
    When a request with "first sound" crashes "e-1"
    And a request with "other sound" crashes "e-1"
    And a request with "other sound" crashes "e-1"
    And requests with "first sound" crash "e-2 e-2"
    Then nothing is quarantined 1 second later

  Scenario: Evidence of the same endpoint counts again after its restart
    Guards against a part that is never quarantined because endpoints keep their id.
    Given an instance without evidence
    When a request with "first deadly" crashes "e-1"
    And 1.9 seconds go by
    And a request with "first deadly" crashes "e-1"
    And requests with "first deadly" break off before their answers at "e-2 e-3"
    Then nothing is quarantined 1 second later
    When a request with "first deadly" crashes "e-1"
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: Crashes of a single endpoint never suffice
    Guards against a quarantine because of an endpoint that crashes whenever it starts.
    Given an instance without evidence
    When a request with "first sound" crashes "e-1" 6 times, 3 seconds apart
    Then nothing is quarantined 1 second later

  Scenario Outline: Two endpoints that crash again and again under their ids suffice
    Guards against a part that crashes the same two endpoints for ever, since they keep their ids.
    Given an instance without evidence
    When requests with "first deadly" <break> "e-1 e-2" each 3.5 seconds, 2 times
    And requests with "first deadly" <break> "<more>" each 3.5 seconds, 1 times
    Then nothing is quarantined 0 seconds later
    And "deadly" is quarantined 0.31 seconds later
    And requests with "first other" are not refused

    Examples:
      | break                        | more    |
      | crash                        | e-1     |
      | break off before answers at  | e-1 e-2 |

  Scenario: A part that other parts follow is found at two endpoints
    Guards against a part that crashes the same two endpoints for ever, whatever follows it in its requests.
    Given an instance without evidence
    When requests with "deadly a" crash "e-1 e-2" each 3.5 seconds, 1 times
    And requests with "deadly b" crash "e-1 e-2" each 3.5 seconds, 1 times
    And requests with "deadly c" crash "e-1 e-2" each 3.5 seconds, 1 times
    And requests with "deadly d" crash "e-1" each 3.5 seconds, 1 times
    Then "deadly" is quarantined 0.31 seconds later

  Scenario Outline: A first part is served while requests without anything else in common crash two endpoints
    Guards against the refusal of all requests with a first part because of two endpoints that crash for other reasons.
    Given an instance without evidence
    When a request with "first" succeeds
    And requests with "<parts>" crash "e-1 e-2" each 3.5 seconds, 8 times
    Then nothing is quarantined 5 seconds later
    When requests with "<parts>" crash "e-1 e-2" each 3.5 seconds, 2 times
    And a request with "first" succeeds
    And requests with "<parts>" crash "e-1 e-2" each 3.5 seconds, 2 times
    Then nothing is quarantined 5 seconds later

    Examples:
      | parts           |
      | first           |
      | first own-count |

  Scenario: Of two parts with the same evidence the deeper one is quarantined
    Guards against refusing all requests with a first part because of a rare deeper one.
    Given an instance without evidence
    When requests with "first second deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "first second" are not refused
    And nothing is held against "first second"

  Scenario Outline: A part that was served before is not quarantined in place of one beside it
    Guards against refusing a caller's sound prompts, whose batches come minutes apart, since a part that all of them have
    stands in the same requests as a deadly one.
    Given an instance without evidence
    When a request with "first tail" succeeds
    And <pause> seconds go by
    And requests with "<prompt>" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "first tail" are not refused
    And requests with "other deadly" are refused because of "deadly"
    And nothing is held against "first tail"

    Examples:
      | pause | prompt            |
      | 3.1   | first deadly tail |
      | 6     | first deadly tail |
      | 6     | deadly first tail |
      | 6     | first tail deadly |
      | 61    | first deadly tail |
      | 7200  | first deadly tail |

  Scenario: A part that another instance served before is not quarantined in place of one beside it
    Guards against a decision by an instance that has answered none of the caller's prompts.
    Given an instance without evidence
    And another instance that had a success with "first" 600 seconds ago
    And the other instance had a success with "tail" 600 seconds ago
    When requests with "first deadly tail" crash "e-1 e-2 e-3"
    And the other instance tells its successes with "first deadly tail"
    Then "deadly" is quarantined 0.31 seconds later
    And the other instance has nothing more to tell of "first deadly tail"

  Scenario: Parts that nothing tells apart are refused only together
    Guards against refusing sound prompts while it isn't known which of several parts is deadly.
    Given an instance without evidence
    When requests with "first deadly tail" crash "e-1 e-2 e-3"
    Then "tail" is quarantined 0.31 seconds later
    And requests with "first deadly tail" are refused because of "tail"
    And requests with "first tail" are not refused
    And requests with "first deadly" are not refused
    When a request with "first tail" succeeds
    Then others are told that "first tail" are sound
    When a request with "other deadly" crashes "e-4"
    Then "deadly" is quarantined 0 seconds later
    And requests with "deadly" are refused because of "deadly"
    And requests with "first tail" are not refused

  Scenario: Parts that later crashes tell apart
    Guards against a deadly part that is never found since its first requests had another part in common.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "other deadly" are not refused
    When a request with "other deadly" crashes "e-4"
    Then nothing is quarantined 5 seconds later
    When a request with "other deadly" crashes "e-5"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "deadly" are refused because of "deadly"
    And requests with "first other" are not refused

  Scenario: A success with one of several parts leaves the others in quarantine
    Guards against a quarantine that ends, or refuses sound prompts, since some of its parts turn out to be sound.
    Given an instance without evidence
    When requests with "first second deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    When a request with "first" succeeds
    Then others are told that "first" is sound
    And requests with "second deadly" are refused because of "deadly"
    And requests with "second" are not refused
    And requests with "deadly" are not refused
    When another instance reports that "second" is sound
    Then requests with "deadly" are refused because of "deadly"

  Scenario: Sound requests that break off beside a deadly one don't hide it
    Guards against the quarantine of a common part because of all requests that ran where a deadly one crashed the endpoint.
    Given an instance without evidence
    When a request with "first deadly tail" crashes "e-1"
    And requests with "first tail" break off before their answers at "e-1"
    And a request with "first deadly tail" crashes "e-2"
    And requests with "first tail" break off before their answers at "e-2"
    And a request with "first deadly tail" crashes "e-3"
    And requests with "first tail" break off before their answers at "e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "first tail" are not refused
    And nothing is held against "first tail"

  Scenario: A quarantine of several parts that arrives is narrowed by what is known here
    Guards against an instance that takes over a quarantine with parts that it knows to be sound.
    Given an instance without evidence
    When a request with "first tail" succeeds
    And 600 seconds go by
    And a quarantine of "deadly" beside "first tail" that ends in 60 seconds arrives
    Then requests with "other deadly" are refused because of "deadly"
    And requests with "first tail" are not refused

  Scenario: A quarantine whose likeliest part was served here refuses only requests with all its parts
    Guards against refusing sound prompts with a part that this instance has not answered yet.
    Given an instance without evidence
    When a request with "deadly" succeeds
    And 600 seconds go by
    And a quarantine of "deadly" beside "first tail" that ends in 60 seconds arrives
    Then requests with "first deadly tail" are refused because of "deadly"
    And requests with "first tail" are not refused

  Scenario Outline: A deadly part is found behind any number of others
    Guards against a deadly part that is neither evidence nor looked up since it stands behind many others.
    Given an instance without evidence
    When requests with <count> other parts and "deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with <count> other parts and "deadly" are refused because of "deadly"
    And requests with <count> other parts and "sound" are not refused
    When a request with <count> other parts and "deadly" succeeds
    Then requests with <count> other parts and "deadly" are not refused

    Examples:
      | count |
      | 63    |
      | 64    |
      | 70    |
      | 600   |
      | 5000  |

  Scenario: Prompts with many parts of their own drop no evidence of others
    Guards against a deadly part that is never found since requests with many other parts break off meanwhile.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2"
    And 100 requests with 4000 parts of their own crash an endpoint each
    And a request with "first deadly" crashes "e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And the tables are bounded

  Scenario: Prompts with many parts of their own drop no successes of others
    Guards against a quarantine of a common part since requests with many other parts are answered meanwhile.
    Given an instance without evidence
    When a request with "first" succeeds
    And a request with "first" succeeds
    And 100 requests with 4000 parts of their own succeed
    And requests with "first" crash "e-1 e-2 e-3"
    Then nothing is quarantined 5 seconds later
    And the tables are bounded

  Scenario: A first part that has one more crash by chance is not quarantined
    Guards against a quarantine of the first part because it has more evidence than the deadly part after it.
    Given an instance without evidence
    When a request with "first other" crashes "e-0"
    And requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And nothing is quarantined 5 seconds later

  Scenario: A deadly first part is quarantined
    Guards against endless crashes by a first part, whatever follows it.
    Given an instance without evidence
    When a request with "deadly a" crashes "e-1"
    And a request with "deadly b" crashes "e-2"
    And a request with "deadly c" crashes "e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "deadly d" are refused because of "deadly"
    And requests with "a" are not refused

  Scenario: A deadly first part is quarantined although one part often follows it
    Guards against a first part whose crashes are put down to a part that follows it most of the time.
    Given an instance without evidence
    When requests with "deadly a" crash "e-1 e-2"
    And a request with "deadly b" crashes "e-3"
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: Evidence from five endpoints needs no delay
    Guards against several more crashes within the delay when requests with a deadly part come at once.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3 e-4 e-5"
    Then "deadly" is quarantined 0 seconds later

  Scenario: Crashes before the answer never go without the delay
    Guards against a quarantine of a common first part when many endpoints are stopped at once.
    Given an instance without evidence
    When requests with "first" break off before their answers at "e-1 e-2 e-3 e-4 e-5 e-6 e-7 e-8 e-9 e-10"
    And requests with "first" crash "e-11 e-12 e-13 e-14"
    Then nothing is quarantined 0.29 seconds later
    And "first" is quarantined 0.02 seconds later

  Scenario Outline: A known success objects to evidence that soon follows
    Guards against a quarantine of a sound part when many endpoints crash at once, before anyone can object.
    Given an instance without evidence
    When <success>
    And 2.9 seconds go by
    And requests with "first" crash "e-1 e-2 e-3 e-4 e-5"
    Then nothing is quarantined 5 seconds later
    When a request with "first" crashes "e-6"
    Then "first" is quarantined 0 seconds later

    Examples:
      | success                                      |
      | a request with "first" succeeds              |
      | another instance reports that "first" is sound |

  Scenario: A part without successes is found behind a deeper one with a recent success
    Guards against a deadly first part that a sound part after it hides.
    Given an instance without evidence
    When a request with "sound" succeeds
    And requests with "deadly sound" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: Connections that broke off alone are no evidence before the answer
    Guards against a quarantine because of connections that were cut while their endpoints went on.
    Given an instance without evidence
    When requests with "first sound" lose their connections to "e-1 e-2 e-3 e-4 e-5 e-6"
    Then nothing is quarantined 5 seconds later
    When a request with "first sound" succeeds
    Then others are told of nothing

  Scenario: Confirmed crashes before the answer count as half of a crash after its head
    Guards against a quarantine because of requests that waited beside a deadly one.
    Given an instance without evidence
    When requests with "first deadly" break off before their answers at "e-1 e-2 e-3 e-4 e-5"
    Then nothing is quarantined 1 second later
    When a request with "first deadly" breaks off before its answer at "e-6"
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: Endpoints that are unreachable soon after confirm a crash
    Guards against evidence that doesn't count because nothing else ran at the endpoint.
    Given an instance without evidence
    When requests with "first deadly" lose their connections to "e-1 e-2 e-3 e-4 e-5 e-6"
    And 1.9 seconds go by
    And "e-1 e-2 e-3 e-4 e-5 e-6" are found unreachable
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: Breaks and refused connections long after confirm no crash
    Guards against a quarantine because of separate faults at the same endpoints.
    Given an instance without evidence
    When requests with "first sound" lose their connections to "e-1 e-2 e-3 e-4 e-5 e-6"
    And 0.3 seconds go by
    And other attempts at "e-1 e-2 e-3 e-4 e-5 e-6" break off
    And 1.8 seconds go by
    And "e-1 e-2 e-3 e-4 e-5 e-6" are found unreachable
    Then nothing is quarantined 5 seconds later

  Scenario: A success drops all evidence
    Guards against a quarantine of a part that was in crashes by chance.
    Given an instance without evidence
    When requests with "first sound" crash "e-1 e-2"
    And a request with "sound" succeeds
    Then others are told that "sound" is sound
    When a request with "first sound" crashes "e-3"
    Then "first" is quarantined 0.31 seconds later

  Scenario: A success is not reported while nothing is suspected
    Guards against a message to all instances for each request.
    Given an instance without evidence
    When a request with "first sound" succeeds
    Then others are told of nothing

  Scenario: An objection within the delay prevents the quarantine
    Guards against a quarantine of a part that requests of another instance had succeeded with.
    Given an instance without evidence
    And another instance that had a success with "first" 0.9 seconds ago
    When requests with "first" crash "e-1 e-2 e-3"
    And 0.2 seconds go by
    And the other instance objects to "first"
    Then nothing is quarantined 5 seconds later

  Scenario: Old successes are no objection
    Guards against a part that became deadly and is never quarantined.
    Given an instance without evidence
    And another instance that had a success with "first" 3.1 seconds ago
    When requests with "first" crash "e-1 e-2 e-3"
    Then the other instance has no objection to "first"
    And "first" is quarantined 0.31 seconds later

  Scenario: A success ends a quarantine
    Guards against refusing sound requests for a minute because of a wrong quarantine.
    Given an instance without evidence
    When requests with "first sound" crash "e-1 e-2 e-3"
    Then "sound" is quarantined 0.31 seconds later
    When a request with "first sound" succeeds
    Then others are told that "first sound" are sound
    And requests with "first sound" are not refused
    And the ended quarantine is not adopted again

  Scenario: The word of another instance ends a quarantine
    Guards against instances that differ on which requests they refuse.
    Given an instance without evidence
    When requests with "first sound" crash "e-1 e-2 e-3"
    Then "sound" is quarantined 0.31 seconds later
    When another instance reports that "sound" is sound
    Then requests with "first sound" are not refused
    And the ended quarantine is not adopted again

  Scenario: Several deadly parts are found at a time
    Guards against a second deadly part that is never found because of the first one.
    Given an instance without evidence
    When requests with "first deadly-1" crash "e-1 e-2 e-3"
    And requests with "first deadly-2" crash "e-4 e-5 e-6"
    And requests with "other deadly-3" crash "e-7 e-8 e-9"
    Then "deadly-1 deadly-2 deadly-3" are quarantined 0.31 seconds later
    And requests with "first" are not refused
    And nothing is held against "first other"

  Scenario: A first part that succeeded lately is not quarantined because several deadly parts follow it
    Guards against refusing all requests with a first part because of two crashes by each of two parts after it.
    Given an instance without evidence
    When a request with "first sound" succeeds
    And 59 seconds go by
    And requests with "first deadly-1" crash "e-1 e-2"
    And requests with "first deadly-2" crash "e-3 e-4"
    Then nothing is quarantined 0.5 seconds later
    When a request with "first deadly-1" crashes "e-5"
    Then "deadly-1" is quarantined 0.31 seconds later
    When a request with "first deadly-2" crashes "e-6"
    Then "deadly-2" is quarantined 0.31 seconds later
    And nothing is held against "first"

  Scenario: A first part that succeeded long ago is quarantined whatever follows it
    Guards against endless crashes by a first part that became deadly.
    Given an instance without evidence
    When a request with "deadly" succeeds
    And 61 seconds go by
    And requests with "deadly a" crash "e-1 e-2"
    And a request with "deadly b" crashes "e-3"
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: A first part that succeeded lately is quarantined after five crashes
    Guards against endless crashes by a first part that became deadly.
    Given an instance without evidence
    When a request with "deadly" succeeds
    And 5 seconds go by
    And requests with "deadly a" crash "e-1 e-2"
    And requests with "deadly b" crash "e-3 e-4"
    And a request with "deadly c" crashes "e-5"
    Then "deadly" is quarantined 0 seconds later

  Scenario: Evidence with a quarantined part does not count against other parts
    Guards against a quarantine of the parts of requests that were running when the deadly part was quarantined.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    When requests with "first deadly" crash "e-4 e-5 e-6 e-7"
    Then nothing is quarantined 5 seconds later
    And nothing is held against "first"

  Scenario: A quarantine ends, and one more crash renews it for twice the time
    Guards against three crashes each minute by a part that stays deadly, and against refusing for ever what is sound.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "first deadly" are refused 59 seconds later
    And requests with "first deadly" are not refused 2 seconds later
    When a request with "first deadly" crashes "e-4"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "first deadly" are refused 119 seconds later
    And requests with "first deadly" are not refused 2 seconds later

  Scenario: On probation a crash after the head of an answer needs no delay
    Guards against more crashes by a part that is known to be deadly.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    When 61 seconds go by
    And a request with "first deadly" breaks off before its answer at "e-4"
    Then nothing is quarantined 5 seconds later
    When a request with "first deadly" crashes "e-5"
    Then "deadly" is quarantined 0 seconds later

  Scenario: On probation two crashes before the answer are enough
    Guards against as many crashes after each quarantine as before the first one.
    Given an instance without evidence
    When requests with "first deadly" break off before their answers at "e-1 e-2 e-3 e-4 e-5 e-6"
    Then "deadly" is quarantined 0.31 seconds later
    When 61 seconds go by
    And requests with "first deadly" break off before their answers at "e-1 e-2"
    Then "deadly" is quarantined 0.31 seconds later

  Scenario: A success ends the probation
    Guards against a quarantine after a single crash of a part that has long been sound.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    When 61 seconds go by
    And a request with "first deadly" succeeds
    Then others are told that "first deadly" are sound
    When requests with "first deadly" crash "e-4 e-5"
    Then nothing is quarantined 5 seconds later

  Scenario: A quarantine never lasts longer than an hour
    Guards against refusing for days what was repaired.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2 e-3"
    Then "deadly" is quarantined 0.31 seconds later
    And its quarantines after one more crash each last "120 240 480 960 1920 3600 3600" seconds

  Scenario: Quarantines of other instances are adopted
    Guards against crashes at each instance until it has seen enough of them itself.
    Given an instance without evidence
    When requests with "first deadly" crash "e-1 e-2"
    And a quarantine of "deadly" that ends in 60 seconds arrives
    Then it is new
    And requests with "first deadly" are refused because of "deadly"
    And nothing is held against "first"
    When the same quarantine arrives again
    Then it is not new
    When a quarantine of "deadly" that ends in 30 seconds arrives
    Then it is not new
    When a quarantine of "deadly" that ends in 100 seconds arrives
    Then it is new
    And requests with "first deadly" are refused 99 seconds later
    And requests with "first deadly" are not refused 2 seconds later

  Scenario: A relapse that another instance saw first is reported while the earlier quarantine is in force
    Guards against requests that are let through at the earlier end, with evidence that no longer counts.
    Given an instance without evidence
    When a quarantine of "deadly" that ends in 60 seconds arrives
    And 59.9 seconds go by
    And a quarantine of "deadly" after 1 relapse that ends in 120 seconds arrives
    Then it is new
    And requests with "first deadly" are refused 119 seconds later
    When the same quarantine arrives again
    Then it is not new

  Scenario: Instances that repeat each other's quarantines do not extend them
    Guards against a quarantine that never ends because each message adds its delay to it.
    Given an instance without evidence
    When a quarantine of "deadly" arrives 1000 times, each 0.001 seconds later than what is known
    Then its end has not changed

  Scenario: A quarantine that ended in the store puts its part on probation
    Guards against three more crashes after a restart of all instances.
    Given an instance without evidence
    When a quarantine of "deadly" that ended 10 seconds ago arrives
    Then it is not new
    And requests with "first deadly" are not refused
    When a request with "first deadly" crashes "e-1"
    Then "deadly" is quarantined 0.31 seconds later
    And requests with "first deadly" are refused 119 seconds later

  Scenario: Evidence expires
    Guards against a quarantine because of crashes within hours.
    Given an instance without evidence
    When requests with "first sound" crash "e-1 e-2"
    And 301 seconds go by
    And a request with "first sound" crashes "e-3"
    Then nothing is quarantined 5 seconds later

  Scenario: Parts with very long ids are not tracked
    Guards against memory that callers fill with long ids.
    Given an instance without evidence
    When requests with a part of 129 characters crash "e-1 e-2 e-3"
    Then nothing is quarantined 5 seconds later

  Scenario: Random evidence leaves the tables bounded
    Guards against memory that grows with each crash, and against a deadly part that is evicted by other evidence.
    Then after 100000 random reports the tables are bounded and a deadly part is still found

  Scenario: Checks are cheap while nothing is suspected
    Guards against processor time for each request.
    Then 20000 requests with 4 parts take less than 10 microseconds each to check and to record

  Scenario: No order of reports breaks the rules of the quarantine
    Guards against decisions that are due and never made, and against quarantines that outlast a success.
    Then in random histories the rules of the quarantine hold

  Scenario Outline: Simulated fleets whose prompts end alike refuse no sound request
    Guards against refusing sound requests that share the parts around a deadly one, and come in batches with pauses.
    Then <count> fleets with a deadly part and common last parts, pauses of <pause> seconds, from seed <seed> on, refuse no sound request and have at most 3 crashes later than 3 s after the 5th

    Examples:
      | count | pause | seed |
      | 20    | 0     | 300  |
      | 20    | 6     | 400  |
      | 20    | 12    | 500  |

  Scenario Outline: Simulated fleets find all deadly parts and no others
    Guards against more than seven crashes by one part, and against refusing sound requests, while endpoints also crash
    for other reasons.
    Then <count> fleets with <deadly> deadly parts, from seed <seed> on, quarantine these before their 8th crash and no sound part

    Examples:
      | count | deadly | seed |
      | 10    | 0      | 0    |
      | 20    | 1      | 100  |
      | 20    | 3      | 200  |

    Examples: Seeds that failed before
      | count | deadly | seed |
      | 1     | 3      | 80   |
