Feature: The start of an instance, and of all at once
  Guards against callers that are refused, or cut off, between the start of a process and its first service. After a loss
  of all power every caller meets only instances that start.

  Scenario Outline: What a request waits for
    Guards against a start that waits for more than is needed to place a request, and against requests that are placed too early.
    Given an instance that has just started
    When it knows <known> and a request comes
    Then the request <fate>

    Examples:
      | known                           | fate              |
      | nothing                         | waits             |
      | a configuration                 | waits             |
      | the endpoints                   | waits             |
      | a configuration, the endpoints  | is placed at once |
      | the endpoints, a configuration  | is placed at once |

  Scenario: Requests that wait are placed in their order
    Guards against a request that is placed twice or behind later ones, and against work for a caller that has left.
    Given an instance that has just started
    When 4 requests come and the caller of number 2 leaves
    And it knows the endpoints, a configuration
    Then the requests 1, 3, 4 are placed, once

  Scenario: A store that does not answer
    Guards against callers that wait for a store that is away, while other instances could serve them.
    Given an instance that has just started
    When 3 requests come and 1 second passes
    Then the requests 1, 2, 3 are answered, once
    And a request that comes then does not wait

  Scenario: A caller with less time than the wait
    Guards against an answer that comes after its caller has left.
    Given an instance that has just started
    Then a request of a caller that waits 0.5 s does not wait, and one of 2 s does

  Scenario: More requests than may wait
    Guards against a number of waiting requests without a bound.
    Given an instance that has just started
    When 300 requests come
    Then 256 of them wait

  @fleet
  Scenario: All instances are killed at once and start again
    Guards against an answer of an instance that knows no configuration yet which says that a path or a key is unknown, a
    request that runs twice, and one that is cut off although it was read.
    Given a relay fleet
    When all instances are killed, start again, and get requests as soon as they accept connections
    Then each request got its whole answer and ran once, or a 503 and did not run
    And all instances are ready again and list each other
    And no instance logged a fault of the program

  @fleet
  Scenario: All instances start while the store is silent
    Guards against requests that wait without an end for a store that is away.
    Given a relay fleet
    When all instances are killed, and start again while the store is silent, and get requests as soon as they accept connections
    Then each request got a 503 and did not run
    When the store answers again
    Then all instances are ready again and list each other
