Feature: Cells of a large fleet
  Guards against update messages whose cost grows with the square of the fleet, and against instances that fill the
  same engines without knowing of each other.

  Scenario Outline: All instances assign every instance and endpoint to the same cell
    Many instances serve many engines. Guards against updates on short requests that go to the whole fleet, cells of
    very different sizes, and instances that disagree on who must receive an update.
    Given <instances> instances and <endpoints> endpoints in <centres> data centres
    Then there are <cells> cells, none with more than <max> instances and none without endpoints
    And each endpoint is in the own cell of the instances of one cell, in its data centre if the fleet is divided

    Examples:
      | instances | endpoints | centres | cells | max  |
      | 9         | 21        | 3       | 1     | 9    |
      | 76        | 69        | 3       | 3     | 26   |
      | 65        | 78        | 4       | 4     | 17   |
      | 350       | 720       | 4       | 12    | 30   |

  Scenario: Updates on short requests go to one cell, on long requests to all
    Guards against a long prompt on an engine that instances of other cells do not know of and are about to use.
    Given 76 instances and 69 endpoints in 3 data centres
    Then updates on a short go to at most 26 instances and on a long to 75

  Scenario: A dead instance stays in its cell and gets no updates
    Guards against a division that changes each time an instance fails, and against messages to dead instances.
    Given 76 instances and 69 endpoints in 3 data centres
    When one of another cell dies
    Then nobody changes cells and the dead one gets no updates

  Scenario: Short requests go to the own cell first, and spread when it is full
    A burst arrives in one data centre. Guards against all instances of a full cell choosing the same engine of another
    cell.
    Given 40 idle engines of which 10 are in the own cell
    When 80 shorts are placed one after the other
    Then 80 of them are in the own cell
    And the next 30 that are placed go to 12 engines or more in other cells

  Scenario: A long request that the own cell can prefill in time stays there
    Long prompts arrive in a divided fleet. Guards against prompt parts that are prefilled on engines whose short
    requests are not known here.
    Given 40 idle engines of which 10 are in the own cell
    When a long of 154000 tokens is placed
    Then all its engines are in the own cell
    And a long of 700000 tokens uses engines of other cells too
