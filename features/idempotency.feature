Feature: Calls that may not be repeated
  A reminder, a fee charge or a deposit booking runs at most once.

  Scenario: Fuzzed histories of calls
    Guards against a second run, an untrue "not run", a lost result, a call
    without an answer and a permit that is never returned. Answers are lost or
    late, instances pause and die, and callers repeat.
    When 10000 histories of "idempotency" are run with a fixed seed
    Then no history broke a rule

  Scenario: The histories reach the cases that matter
    Guards against histories so mild that no rule could be broken in them.
    When 1000 histories of "idempotency" are sampled
    Then each of these answers was given at least 10 times
      | answer               |
      | whole                |
      | key_reused           |
      | in_progress          |
      | outcome_unknown      |
      | result_expired       |
      | store_unavailable    |
      | endpoint_unavailable |
      | deadline_unreachable |
      | overloaded           |

  Scenario: Calls that look alike
    Guards against a result that is shown to another customer, or returned for
    a call to another service.
    Then the keys "b/c" of workspace "a" and "c" of workspace "a/b" differ
    And the digests of "fees/charge" and "deposits/charge" differ

  Scenario: An outage of the table is noticed
    Guards against calls that each wait a second for a table that is down, and
    against refusals after it answers again.
    When 3 operations on the table get no answer
    Then the table counts as down for 3 to 4 s
    And it counts as up as soon as an operation is answered

  Scenario: A repeatable call is sent to another endpoint
    Guards against a call that fails although another endpoint could take it.
    Given a call with method "GET" and two endpoints
    When its exchange fails after bytes were sent
    Then it asks a permit for the other endpoint
    And it is not said that the call did not run when that is busy
