Feature: Release of memory that is reserved at engines
  Calls to an engine run on different connections, and may be handled in another order than they were sent.

  Scenario Outline: An engine handles a call that reserves memory after the call that releases it
    Guards against memory that stays reserved for a whole hold time after its request has ended.
    Given an attempt with memory at two engines whose <call> is not answered yet
    When its memory is released
    And the <call> is then granted
    Then its memory is released once more at that engine

    Examples:
      | call    |
      | reserve |
      | renewal |
