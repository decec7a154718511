Feature: Rate limits of endpoints in a fleet
  Guards against fleets that send an endpoint more than it takes from all instances together. The bound in any 4 seconds
  is the users': one and a half times the limit and 5 requests. The instances run in virtual time.

  Scenario Outline: All instances have requests for an endpoint with a limit
    Guards against instances that each keep to the limit alone, and against a share that only one of them uses.
    Given <instances> instances and an endpoint that takes <limit> requests a second
    When <senders> of them have 40 requests a second for it for 40 seconds
    Then it gets in no 4 seconds more than the bound
    And from the 10th second on it gets at least 0.6 of its limit

    Examples:
      | instances | limit | senders |
      | 9         | 1.2   | 9       |
      | 9         | 1.2   | 1       |
      | 9         | 0.5   | 3       |
      | 9         | 20    | 9       |
      | 195       | 1.2   | 195     |
      | 195       | 0.3   | 195     |
      | 195       | 4     | 2       |
      | 350       | 14    | 350     |

  Scenario: An endpoint that takes nothing is asked now and then
    Guards against an endpoint that can never say that its need is over, since it gets no request.
    Given 9 instances and an endpoint that takes 0 requests a second
    When 9 of them have 40 requests a second for it for 40 seconds
    Then it gets between 3 and 12 requests from the 10th second on
    When it names no limit any more
    And 9 of them have 40 requests a second for it for 10 seconds
    Then it gets at least 15 requests a second in the last 2 seconds

  Scenario Outline: Instances that cannot reach each other keep the limit together
    Guards against parts of a fleet that each send what the endpoint takes from all.
    Given <instances> instances and an endpoint that takes <limit> requests a second
    When 9 of them have 40 requests a second for it for 10 seconds
    And the fleet falls into <parts> parts for 20 seconds of the same traffic
    Then it gets in no 4 seconds more than the bound

    Examples:
      | instances | limit | parts |
      | 9         | 1.2   | 2     |
      | 9         | 1.2   | 3     |
      | 9         | 1.2   | 9     |
      | 9         | 4     | 3     |
      | 195       | 1.2   | 5     |
      | 195       | 1.2   | 195   |

  Scenario: Random courses
    Guards against bounds that are exceeded when instances restart, are cut off and come back, and messages are late.
    Then in 60 random courses the endpoint gets in no 4 seconds more than the bound

  Scenario: An answer to an earlier request does not end a limit
    Guards against a limit that is given up because an answer that began before the endpoint named it arrives later.
    Given an instance that knows a limit of 1 a second since the 10th second
    When an answer without a limit arrives to a request of the 9th second
    Then the limit holds
    When an answer without a limit arrives to a request of the 11th second
    Then the limit has ended

  Scenario: A limit belongs to one start of an endpoint
    Guards against a limit that outlives the endpoint that named it.
    Given 6 known endpoints
    When the first names a limit of 1 request a second
    Then 5 are left to choose from
    When the first restarts and its old entry arrives again
    Then 6 are left to choose from
