Feature: Error kinds
  Guards against an error kind without an HTTP answer, which would reach a caller as a stack trace.

  Scenario: Every kind has an answer
    Then every error kind has an HTTP answer
    And no kind with an unknown outcome says "not run"
