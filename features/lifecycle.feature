Feature: Life of a chat request
  Every admitted request ends once, and every permit goes back.

  Scenario: Any order of reports ends the request once and returns every permit
    Guards against a request without an answer, with two answers, or with a
    permit that is lost or returned twice.
    Then 1500 random courses of a request keep its invariants
