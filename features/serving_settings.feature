Feature: Settings of a process on the users' platform
  The platform renders the settings from a template in the deployment folder.
  Guards against a program that does not start, or starts with other values than the platform's.

  Scenario: The settings template loads
    Guards against a template that renders to a file that the program refuses.
    Then the rendered template of the deployment folder is read as settings

  Scenario: A platform that sets no bound gets the default
    Guards against instances that do not start on a platform where some of the bounds are missing.
    Then the template rendered without "coldSlack" is read as settings with cold_slack 5
