Feature: Lifecycle of a chat request
  Every admitted request ends once and returns every permit.

  Scenario: Any order of reports ends the request once and returns every permit
    Guards against a request without an answer, with two answers, or with a
    permit that is lost or returned twice, when reports arrive in an unexpected
    order.
    Then 1500 random histories of a request keep its invariants
