Feature: Settings of a process on the users' platform
  Guards against a program that does not start, or starts with other figures than the platform's.

  Scenario: The settings template loads
    Guards against a template whose result the program refuses.
    Then the rendered template of the deployment folder is read as settings

  Scenario: A deployment without a bound gets the default
    Guards against instances that do not start where a part of the rules is not in force.
    Then the template rendered without "coldSlack" is read as settings with cold_slack 5
