Feature: Cells of a large fleet
  Guards against a cost of telling that grows with the square of the fleet, and against instances that fill the same
  engines without knowing of each other.

  Scenario Outline: Every instance and endpoint is in one cell, as all instances see it
    Load: many instances before many engines. Guards against a short that is told to the whole fleet, cells of very
    unlike sizes, and instances that disagree on who must hear of a request.
    Given <instances> instances and <endpoints> endpoints in <centres> data centres
    Then there are <cells> cells, none with more than <most> instances and none without endpoints
    And each endpoint is home to the instances of one cell, in its data centre if the fleet is divided

    Examples:
      | instances | endpoints | centres | cells | most |
      | 9         | 21        | 3       | 1     | 9    |
      | 76        | 69        | 3       | 3     | 26   |
      | 65        | 78        | 4       | 4     | 17   |
      | 350       | 720       | 4       | 12    | 30   |

  Scenario: A short is told to few and a long to all
    Guards against a long prompt that other cells' instances do not see on an engine that they are about to use.
    Given 76 instances and 69 endpoints in 3 data centres
    Then a short is told to at most 26 instances and a long to 75

  Scenario: A dead instance stays in its cell and hears nothing
    Guards against a division that changes each time an instance fails, and against messages to dead instances.
    Given 76 instances and 69 endpoints in 3 data centres
    When one of another cell dies
    Then nobody changes cells and the dead one is told nothing

  Scenario: Shorts go to the own cell first, and spread when it is full
    Load: a burst in one data centre. Guards against all instances of a full cell choosing the same engine elsewhere.
    Given 40 idle engines of which 10 are in the own cell
    When 80 shorts are placed one after the other
    Then 80 of them are in the own cell
    And the next 30 that are placed go to 12 engines or more elsewhere

  Scenario: A long that the own cell reads in good time stays there
    Load: long prompts in a divided fleet. Guards against parts that are read where others' shorts are not known.
    Given 40 idle engines of which 10 are in the own cell
    When a long of 154000 tokens is placed
    Then all its engines are in the own cell
    And a long of 700000 tokens uses engines elsewhere too
