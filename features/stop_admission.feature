Feature: Requests that a stopping instance still accepts
  Guards against answers that the end of the process cuts off, and against refusals of requests that would have ended in
  time.

  Scenario Outline: The longest answer of a route bounds what is accepted
    Guards against long classes that are refused from the first moment of a stop, and against short ones that are cut.
    Then a request for <prompt> and <output> tokens is taken to last <least> to <most> seconds at first
    And after 100 answers of at most <seen> seconds it is taken to last <expected> seconds

    Examples:
      | prompt | output | least | most | seen | expected |
      | 1000   | 4182   | 4.3   | 5.5  | 4.5  | 4.95     |
      | 20000  | 2091   | 2.5   | 4.5  | 2    | 2.2      |
      | 154000 | 2091   | 3.5   | 7.5  | 5    | 5.5      |

  Scenario: A route with few answers so far is judged by its limits
    Guards against a bound from answers that were short by chance.
    Then after 19 short answers the longest is unknown, after 20 it is known
    And a route that is gone from the configuration is forgotten
