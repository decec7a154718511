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
