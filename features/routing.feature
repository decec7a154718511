Feature: Choice of endpoint
  Guards against work for excluded endpoints, and short requests (shorts) that wait behind long requests (longs).

  Scenario: Excluded endpoints get no work
    Guards against new work for endpoints that operators took out of service or that are leaving.
    Then no policy chooses an excluded or too small endpoint for any request

  Scenario: An endpoint that failed is chosen only when there is no other
    Guards against retries at a dead endpoint, and against a refusal while some endpoint could serve.
    Given 4 endpoints of which one failed a second ago
    Then no policy chooses it
    And when all have failed every policy chooses some

  Scenario: Longs stay within their share
    Guards against shorts that wait because every endpoint runs a long.
    Given 20 endpoints
    Then longs use the same 12 of them on all instances
    And taking one of those out of service changes only its own place
    And shorts use them when all others have a wait of 1 second, not of 0.1

  Scenario: A cached prefix is preferred until its wait costs more than it saves
    Guards against a second prefill of a cached prefix, and against a queue at the one endpoint that has a popular prefix.
    Given 20 endpoints of which one for shorts has the prefix cached
    Then a short goes there first, but not with a wait of 1 second there

  Scenario: Requests spread when all endpoints look alike
    Guards against all instances choosing the same best endpoint at once.
    Given 20 endpoints
    Then 800 shorts use each endpoint for shorts between 60 and 140 times

  Scenario: Requests whose deadline cannot be met are refused early
    Guards against callers that wait for an answer that cannot meet its deadline, and against refusals because of an outdated wait report.
    Given 4 endpoints with a reported wait of 20 seconds
    Then a request with 10 seconds left is refused, but not 11 seconds later
    And with all endpoints excluded it is refused as endpoint_unavailable

  Scenario Outline: Requests are classified by tokens and memory
    Guards against a long that is handled as a short, and against a prompt sent to an engine that cannot hold it.
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
    Guards against prompts that no coordinator ever admits, because longs and groups may use only a part of an engine's memory.
    Then an idle engine has room for each part of any request
