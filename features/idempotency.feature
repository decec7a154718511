Feature: Calls that must run at most once
  Reminders, fee charges and deposit bookings must not run twice.

  Scenario: Fuzzed histories of calls
    Guards against a second run, a false "not run", a lost result, a call
    without an answer and a permit that is never returned, when answers are lost
    or late, instances are paused or killed, and callers retry.
    When 10000 histories of "idempotency" are run with a fixed seed
    Then no history broke a rule

  Scenario: The histories produce every kind of answer
    Guards against histories with so few faults that they cannot break a rule.
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

  Scenario: Row keys and digests are unambiguous
    Guards against a result that is returned to another workspace, or for a call
    to another service.
    Then the keys "b/c" of workspace "a" and "c" of workspace "a/b" differ
    And the digests of "fees/charge" and "deposits/charge" differ

  Scenario: An outage of the table is detected
    Guards against calls that each wait a second for a table that is down, and
    against refusals after the table is up again.
    When 3 operations on the table get no answer
    Then the table counts as down for 3 to 4 s
    And it counts as up as soon as an operation is answered

  Scenario: A repeatable call is retried at another endpoint
    Guards against a call that fails although another endpoint could serve it.
    Given a call with method "GET" and two endpoints
    When its exchange fails after bytes were sent
    Then it requests a permit for the other endpoint
    And its refusal does not say "not run" when that endpoint is busy
