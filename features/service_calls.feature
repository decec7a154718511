Feature: Components that speak with the platform and the services
  The components carry the decisions out over the wire forms.

  Scenario Outline: What an answer of the table means
    Guards against a write without an answer that is taken for one without effect.
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

  Scenario: Operations beyond the bound
    Guards against memory that grows while the platform is silent.
    Given components over a platform that answers "nothing"
    When 300 rows are written at once
    Then 44 of them are refused at once

  Scenario: A charge and its repeat
    Guards against a repeat that runs, and against an API key shown to a service.
    Given components over a platform that answers "as usual"
    When a configuration with the service "fees" is published
    And the same charge of 6000 bytes is submitted twice
    Then the service ran it once and did not see the API key
    And both callers got the same 6000 bytes
    And all permits were returned

  Scenario Outline: A planned stop and the result of a call
    Guards against a result that is lost with its instance, so that a repeat is
    told "outcome_unknown", and against a stop that waits for a table that is
    down for long.
    Given components over a platform that answers "as usual"
    And a planned stop that waits <wait> s for records
    When a configuration with the service "fees" is published
    And the table refuses results
    And a charge is answered and its instance stopped
    And the table takes results again <back> s after draining began
    Then the instance ends <least> to <most> s after draining began
    And the result of the charge is <kept>, with <given up> records given up

    Examples:
      | wait | back | least | most | kept   | given up |
      | 10   | 2    | 2     | 4    | kept   | 0        |
      | 2    | 60   | 1.9   | 2.5  | absent | 1        |

  Scenario: A planned stop hastens a late retry
    Guards against a result that is lost because its next try was 30 s away.
    Given components over a platform that answers "as usual"
    And a planned stop that waits 10 s for records
    When a configuration with the service "fees" is published
    And the table refuses results
    And a charge is answered and its result tried until the next try is 2 s away
    And the table takes results again and the instance is stopped
    Then the result of the charge is kept within 1 s

  Scenario: A call whose caller is gone
    Guards against a stop that counts callers alone and loses the result of a
    call that still runs.
    Given components over a platform that answers "as usual"
    And a planned stop that waits 10 s for records
    When a configuration with the service "fees" is published
    And the service takes its time over a charge whose caller leaves
    And the instance is stopped
    And the service answers 2 s after draining began
    Then the instance ends 2 to 4 s after draining began
    And the result of the charge is kept, with 0 records given up
