@fleet
Feature: Operators' command-line tool
  Operators act on a running fleet by files, out and back, and read its status.

  Scenario: Files are checked, compared and applied, and races are told
    Guards against a tool whose exit code does not tell success from failure.
    Given a fleet of three instances and files that describe it
    Then "check" of the files exits with 0
    And "check" of a broken file exits with 1 and names file and key
    And "diff" of the files shows no changes
    And "apply" of the files with one more workspace exits with 0 and is in force at 3 members
    And "diff" of the old files shows the workspace that would go
    And "apply" with a wrong token exits with 3
    And "apply" at an address where nobody listens exits with 4

  Scenario: Orders and reports
    Guards against an order that is not followed or not shown.
    Given a fleet of three instances and files that describe it
    Then "out" of "data_centre/b" is shown by "status" at every instance
    And "back" of "data_centre/b" is shown by "status" at every instance
    And "burn" shows every objective with the counts of 3 instances
