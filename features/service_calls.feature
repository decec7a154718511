Feature: Components that call the platform's stores and plain services
  The components run in one process, over a fake HTTP client.

  Scenario Outline: Outcome of a write by the table's answer
    Guards against a write without an answer that is reported as refused,
    although it may have taken effect.
    Given components over a platform that answers "<answer>"
    When a row is written
    Then the outcome is "<outcome>"

    Examples:
      | answer          | outcome  |
      | as usual        | written  |
      | 503             | refused  |
      | 500             | unknown  |
      | broken JSON     | unknown  |
      | lost after send | unknown  |
      | not sent        | refused  |
      | nothing         | unknown  |

  Scenario: The number of pending operations is limited
    Guards against memory that grows while the platform does not answer.
    Given components over a platform that answers "nothing"
    When 300 rows are written at once
    Then 44 of them are refused at once

  Scenario: A charge and its retry
    Guards against a retry that runs a second time, and against an API key that
    is sent to a service.
    Given components over a platform that answers "as usual"
    When a configuration with the service "fees" is published
    And the same charge of 6000 bytes is submitted twice
    Then the service ran it once and did not see the API key
    And both callers got the same 6000 bytes
    And all permits were returned

  Scenario Outline: A planned stop waits for results to be written
    Guards against a result that is lost when its instance stops, so that a
    retry is refused with "outcome_unknown", and against a stop that waits too
    long for a table that is down.
    Given components over a platform that answers "as usual"
    And a planned stop that waits <wait> s for records
    When a configuration with the service "fees" is published
    And the table refuses results
    And a charge is answered and its instance stopped
    And the table takes results again <back> s after draining began
    Then the instance ends <least> to <most> s after draining began
    And the result of the charge is <kept>, with <abandoned> abandoned record writes

    Examples:
      | wait | back | least | most | kept   | abandoned |
      | 10   | 2    | 2     | 4    | kept   | 0         |
      | 2    | 60   | 1.9   | 2.5  | absent | 1         |

  Scenario: A planned stop retries a write early
    Guards against a result that is lost because the next attempt to write it
    was due 30 s later.
    Given components over a platform that answers "as usual"
    And a planned stop that waits 10 s for records
    When a configuration with the service "fees" is published
    And the table refuses results
    And a charge is answered and its result tried until the next try is 2 s away
    And the table takes results again and the instance is stopped
    Then the result of the charge is kept within 1 s

  Scenario: A planned stop waits for a call whose caller is gone
    Guards against a stop that waits only for calls with a caller and so loses
    the result of a call that is still running.
    Given components over a platform that answers "as usual"
    And a planned stop that waits 10 s for records
    When a configuration with the service "fees" is published
    And the service takes its time over a charge whose caller leaves
    And the instance is stopped
    And the service answers 2 s after draining began
    Then the instance ends 2 to 4 s after draining began
    And the result of the charge is kept, with 0 abandoned record writes
