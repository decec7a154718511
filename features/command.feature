@fleet
Feature: Command-line tool for operators
  Operators publish configuration files, take targets out of service and back, and read the fleet's status.

  Scenario: Files are checked, compared and applied, and failures are reported
    Guards against exit codes that do not distinguish success from failure.
    Given a fleet of three instances and files that describe it
    Then "check" of the files exits with 0
    And "check" of a broken file exits with 1 and names file and key
    And "check" with "--in-force" of the files with a workspace without a key shows a warning and what it adds
    And "diff" of the files shows no changes
    And "apply" of the files with one more workspace exits with 0 and is in force at 3 members
    And "diff" of the old files shows the workspace that would be removed
    And "apply" with a wrong token exits with 3
    And "apply" at an address without a listener exits with 4

  Scenario: Orders reach all instances and reports cover them
    Guards against an order that some instance does not show, and a burn report without some instance's counts.
    Given a fleet of three instances and files that describe it
    Then "out" of "data_centre/b" is shown by "status" at every instance
    And "back" of "data_centre/b" is shown by "status" at every instance
    And "burn" shows every objective with the counts of 3 instances
