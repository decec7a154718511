@fleet
Feature: Callers that read more slowly than engines write
  Guards against answers that are cut or fill the memory of an instance because their callers read slowly. The fleet is
  two instances, the store and two plain endpoints as processes; the limit of the route is 10 seconds.

  Scenario: A large answer to a slow caller
    Guards against closing the connection of a caller that reads all the time.
    Given a relay fleet with large answers
    When a caller reads an answer at 10 MB per second
    Then it gets the whole answer
    And the instance's memory grew by less than 16 MB

  Scenario: Many callers that stop reading
    Guards against memory that grows with each caller that reads nothing, requests of others that wait for them, and
    work at engines that outlasts its request.
    Given a relay fleet with large answers
    When 30 callers of an instance read only the head of a large answer
    Then other requests through the instance are answered within 1 second
    And the instance's memory grew by less than 200 MB
    And no endpoint is at work when the time limit has passed
    And other requests through the instance are answered within 1 second

  Scenario Outline: The end of a request whose caller has stopped reading
    Guards against an answer that is kept although nobody waits for it, and against a pause that outlasts its request.
    Given a relay fleet with large answers
    When 3 callers of an instance read only the head of a large answer
    And <end>
    Then no endpoint is at work within <limit> seconds
    And <after>

    Examples:
      | end                       | limit | after                                                            |
      | the callers disconnect    | 1     | other requests through the instance are answered within 1 second |
      | the instance gets SIGTERM | 9     | the instance exits with 0                                        |
