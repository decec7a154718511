Feature: Where requests go
  Guards against shorts that stand behind the reading of long prompts, against long prompts that miss
  their objective on one engine, and against all instances choosing the same engine.

  Scenario: Shorts fill engines in one order
    Load: many shorts beside few longs. Guards against shorts on every engine, so that no long finds one without.
    Given 21 idle engines
    When 30 shorts are placed one after the other
    Then they are on the first 6 engines in the common order, at most 6 on each

  Scenario: Shorts of many instances do not meet at one engine
    Load: a hundred shorts a second from many instances, each of which hears of the others' a little later. Guards
    against a seat that several take at once, so that the last waits for a slot.
    Given 69 idle engines
    When 120 shorts are sent within a second
    Then the next 6 shorts that know nothing of each other go to 3 engines or more

  Scenario: Shorts avoid an engine that reads a long prompt
    Load: long prompts in a burst. Guards against a short whose first event waits for a second's reading.
    Given 21 idle engines
    And a prompt of 154000 tokens is being read on the first engine
    When 1 short is placed
    Then it is on the second engine

  Scenario: Shorts go where the wait is least when no engine has a good seat
    Load: a burst of shorts beyond all seats. Guards against refusing what can still be served.
    Given 3 idle engines
    When 26 shorts are placed one after the other
    Then each engine has 8 or 9 of them

  Scenario: A short that cannot be in time is refused at once
    Load: engines busy for longer than the request's time. Guards against holding a request that cannot be served.
    Given 3 idle engines
    And each engine reads for 20 seconds
    When 1 short with 10 seconds left is placed
    Then it is refused as deadline_unreachable with a time to come back

  Scenario Outline: A long prompt gets the engines that its objective asks for
    Load: prompts of very unlike lengths. Guards against one engine reading for longer than the objective.
    Given 21 idle engines
    When a long of <tokens> tokens with an objective of <objective> seconds is placed
    Then <engines> engines read it within <read> seconds
    And they are the last engines in the common order

    Examples:
      | tokens | objective | engines | read |
      | 45000  | 1.5       | 1       | 0.53 |
      | 154000 | 3.0       | 3       | 1.05 |
      | 300000 | 3.0       | 10      | 1.05 |

  Scenario: Longs come together
    Load: several very long prompts at once. Guards against the second waiting for the first on the same engines.
    Given 21 idle engines
    When 3 longs of 154000 tokens are placed one after the other
    Then no engine reads for two of them

  Scenario: A very long prompt does not delay the long before it
    Load: a prompt that needs most engines right after a usual long. An engine reads parts for others ahead of the
    prompt that it runs, so that the first would end behind the second.
    Given 21 idle engines
    When a long of 228000 tokens with an objective of 3 seconds is placed
    And 0.8 seconds later a long of 460000 tokens is placed
    Then the second reads nowhere where the first does, and within 1.6 seconds

  Scenario: Longs run on few engines, and the others only read
    Load: several longs while others' answers are written. A part that is read where an answer is written is done at the
    end of a pass of up to seconds.
    Given 21 idle engines
    When 4 longs of 60000 tokens are placed, each after the one before is read
    Then they run on 1 engine
    And a long of 300000 tokens reads its parts where nothing runs

  Scenario: Longs leave the engines of shorts alone while others suffice
    Load: shorts and longs together. Guards against a short's pauses of a second beside a long's reading.
    Given 21 idle engines
    When 12 shorts are placed one after the other
    And 4 longs of 154000 tokens are placed one after the other
    Then no engine with shorts reads a long

  Scenario: A prompt larger than one engine's memory is spread
    Load: the longest prompts. Guards against a prompt that no engine alone can take, and against memory promised twice.
    Given 21 idle engines
    When a long of 700000 tokens with an objective of 3 seconds is placed
    Then the memory held for it is at least 701000 tokens
    And no engine holds more than it has

  Scenario: A prompt larger than one engine's memory lists no more engines than one takes
    Load: the longest prompts where many engines are idle. The engine that runs such a prompt holds memory under a ticket
    of its own and is listed with the others; a list of 17 is refused by every engine that gets it.
    Given 69 idle engines
    When a long of 700000 tokens with an objective of 3 seconds is placed
    Then 16 engines are listed, the one that runs it among them

  Scenario: Memory in use is not promised again
    Load: several prompts near an engine's memory at once. Guards against preemption, which reads a prompt twice.
    Given 4 idle engines
    When 4 longs of 200000 tokens are placed one after the other
    Then no two run on the same engine

  Scenario: A prompt beyond all engines' memory is refused as too long
    Load: a prompt that can never be served. Guards against a promise to try later.
    Given 2 idle engines
    When a long of 700000 tokens with an objective of 3 seconds is placed
    Then it is refused as prompt_too_long

  Scenario: Plain calls go to the endpoint with the fewest calls
    Load: short calls at a few endpoints. Guards against a queue at one endpoint while others are free.
    Given 3 plain endpoints with 6 slots of which one is near
    When 12 plain calls are placed one after the other
    Then the near one has 6 or more and none has more than 8

  Scenario: Baselines choose among all endpoints
    Guards against a measure whose baselines are no such thing.
    Given 5 idle engines
    Then random, round_robin and fewest_outstanding each use all of them for 60 requests

  Scenario: What counts as short follows the promised pauses
    Guards against a threshold that fits one deployment only.
    Then with a promised pause of 0.25 seconds a prompt of 19000 tokens is short and one of 24000 long
    And with a promised pause of 1 second a prompt of 60000 tokens is short
