Feature: Choice of endpoint
  Guards against work for endpoints that must not have it, and shorts that wait behind longs.

  Scenario: Excluded endpoints get nothing
    Guards against new work for endpoints that operators took out or that are leaving.
    Then no policy names an excluded or too small endpoint for any need

  Scenario: An endpoint that failed is named only when there is no other
    Guards against retries at a dead endpoint, and against refusing while one could serve.
    Given 4 endpoints of which one failed a second ago
    Then no policy names it
    And when all have failed every policy names some

  Scenario: Longs stay within their share
    Guards against shorts that find a long on every endpoint.
    Given 20 endpoints
    Then longs use the same 12 of them on all instances
    And taking one of those out moves only its own place
    And shorts use them when all others have a wait of 1 second, not of 0.1

  Scenario: A cached prefix is preferred until its wait costs more than it saves
    Guards against prefill done twice, and against a queue behind one popular prefix.
    Given 20 endpoints of which one for shorts has the prefix cached
    Then a short goes there first, but not with a wait of 1 second there

  Scenario: Requests spread when all endpoints look alike
    Guards against all instances running to the same best endpoint.
    Given 20 endpoints
    Then 800 shorts use each endpoint for shorts between 60 and 140 times

  Scenario: Requests whose deadline cannot be met are refused early
    Guards against callers that wait for an answer that cannot come in time, and against refusing on old news.
    Given 4 endpoints with a reported wait of 20 seconds
    Then a request with 10 seconds left is refused, but not 11 seconds later
    And with all endpoints excluded it is refused as endpoint_unavailable

  Scenario Outline: Requests are classed by tokens and memory
    Guards against a long among shorts, and against a prompt that no engine can hold.
    Then a request with <prompt> prompt tokens and <output> output tokens at engines of 100000 tokens is <class> and needs <engines> engines

    Examples:
      | prompt | output | class | engines |
      | 1000   | 500    | short | 1       |
      | 32000  | 500    | short | 1       |
      | 32001  | 500    | long  | 1       |
      | 32000  | 60000  | short | 1       |
      | 32000  | 68001  | group | 2       |
      | 79500  | 500    | long  | 1       |
      | 79501  | 500    | group | 2       |
      | 250000 | 1000   | group | 4       |

  Scenario: Every prompt fits the engines that it is sent to
    Guards against prompts that no coordinator ever admits, since longs and groups may use only a part of an engine.
    Then an idle engine has room for each part of any request
