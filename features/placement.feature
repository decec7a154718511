Feature: Placement of requests
  Guards against short requests that wait for the prefill of long prompts, against long requests that miss their
  objective on one engine, and against all instances choosing the same engine.

  Scenario: Shorts fill engines in one order
    Guards against shorts on every engine, so that no engine is free for a long. Load: many shorts beside few longs.
    Given 21 idle engines
    When 30 shorts are placed one after the other
    Then they are on the first 6 engines in the common order, at most 6 on each

  Scenario: Shorts of many instances do not all go to one engine
    Guards against several instances taking the same free slot at once, so that the last request waits for another.
    Load: a hundred shorts a second from many instances, whose work updates arrive a little later.
    Given 69 idle engines
    When 120 shorts are sent within a second
    Then the next 6 shorts, placed without updates on each other, go to 3 engines or more

  Scenario: Shorts of instances that have just started do not go to one engine
    Guards against all instances sending their first requests to the same engine after a loss of all power, when none of
    them knows of the others' requests. Load: the requests that waited at each of many instances.
    Given 69 idle engines
    When 44 shorts are placed by instances that have just started and know of no other request
    Then no engine has more than 5 of them
    And a short that is placed later by one of them is on the first engine

  Scenario: Shorts avoid an engine that prefills a long prompt
    Guards against a short whose first event waits for a second of prefill. Load: a burst of long prompts.
    Given 21 idle engines
    And the first engine prefills a prompt of 154000 tokens
    When 1 short is placed
    Then it is on the second engine

  Scenario: Shorts go where the wait is shortest when no engine has a free slot for shorts
    Guards against refusing requests that can still be served. Load: a burst of more shorts than slots for them.
    Given 3 idle engines
    When 26 shorts are placed one after the other
    Then each engine has 8 or 9 of them

  Scenario: A short that cannot meet its deadline is refused at once
    Guards against holding a request that cannot be served. Load: engines busy for longer than the request has left.
    Given 3 idle engines
    And each engine has 20 seconds of prefill pending
    When 1 short with 10 seconds left is placed
    Then it is refused as deadline_unreachable with a time to retry after

  Scenario Outline: A long prompt gets as many engines as its objective requires
    Guards against one engine whose prefill takes longer than the objective. Load: prompts of very different lengths.
    Given 21 idle engines
    When a long of <tokens> tokens with an objective of <objective> seconds is placed
    Then <engines> engines prefill it within <prefill> seconds
    And they are the last engines in the common order

    Examples:
      | tokens | objective | engines | prefill |
      | 45000  | 1.5       | 1       | 0.53    |
      | 154000 | 3.0       | 3       | 1.05    |
      | 300000 | 3.0       | 10      | 1.05    |

  Scenario: Longs that arrive together go to different engines
    Guards against a long that waits for another one on the same engines. Load: several very long prompts at once.
    Given 21 idle engines
    When 3 longs of 154000 tokens are placed one after the other
    Then no engine prefills two of them

  Scenario: A very long prompt does not delay the long before it
    Guards against a long that ends after a later one, because an engine prefills parts for others ahead of the prompt
    that it runs. Load: a prompt that needs most engines, right after a usual long.
    Given 21 idle engines
    When a long of 228000 tokens with an objective of 3 seconds is placed
    And 0.8 seconds later a long of 460000 tokens is placed
    Then the second shares no engine with the first, and each of its parts takes 1.6 seconds at most

  Scenario: Longs run on few engines, and the others only prefill
    Guards against a part on an engine that decodes an answer, where it is done only at the end of a pass of up to
    seconds. Load: several longs while other answers are decoded.
    Given 21 idle engines
    When 4 longs of 60000 tokens are placed, each after the prefill of the one before
    Then they run on 1 engine
    And the prefill helpers of a long of 300000 tokens are engines that run nothing

  Scenario: Longs avoid the engines of shorts while others suffice
    Guards against token gaps of a second in a short's answer beside a long's prefill. Load: shorts and longs together.
    Given 21 idle engines
    When 12 shorts are placed one after the other
    And 4 longs of 154000 tokens are placed one after the other
    Then no engine with shorts prefills a long

  Scenario: A prompt larger than one engine's memory is spread over several
    Guards against refusing a prompt that no single engine can hold, and against memory that is reserved twice.
    Load: the longest prompts.
    Given 21 idle engines
    When a long of 700000 tokens with an objective of 3 seconds is placed
    Then the memory reserved for it is at least 701000 tokens
    And no engine has more reserved than it has memory

  Scenario: A prompt larger than one engine's memory lists no more engines than an engine accepts
    Guards against a list of 17 engines, which every engine refuses: the engine that runs such a prompt holds memory
    under a ticket of its own and is listed with the others. Load: the longest prompts while many engines are idle.
    Given 69 idle engines
    When a long of 700000 tokens with an objective of 3 seconds is placed
    Then 16 engines are listed, the one that runs it among them

  Scenario: Memory in use is not planned again
    Guards against preemption, after which a prompt is prefilled twice. Load: several prompts of nearly an engine's
    memory at once.
    Given 4 idle engines
    When 4 longs of 200000 tokens are placed one after the other
    Then no two run on the same engine

  Scenario: A prompt beyond all engines' memory is refused as too long
    Guards against asking the caller to retry a prompt that can never be served.
    Given 2 idle engines
    When a long of 700000 tokens with an objective of 3 seconds is placed
    Then it is refused as prompt_too_long

  Scenario: Plain calls go to the endpoint with the fewest calls
    Guards against a queue at one endpoint while others are free. Load: short calls to a few endpoints.
    Given 3 plain endpoints with 6 slots, one of them in the own data centre
    When 12 plain calls are placed one after the other
    Then the one in the own data centre has 6 or more and none has more than 8

  Scenario: Baselines choose among all endpoints
    Guards against a comparison with baselines that do not use all endpoints.
    Given 5 idle engines
    Then random, round_robin and fewest_outstanding each use all of them for 60 requests

  Scenario: The promised token gap decides which prompts are short
    Guards against a fixed threshold that fits one deployment only.
    Then with a promised token gap of 0.25 seconds a prompt of 19000 tokens is short and one of 24000 long
    And with a promised token gap of 1 second a prompt of 60000 tokens is short
