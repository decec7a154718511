Feature: Closed list of errors
  Guards against an error kind that has no answer and would reach a caller as a trace.

  Scenario: Every kind has an answer
    Then every error kind has an HTTP answer
    And no kind that leaves the outcome open says "not run"
