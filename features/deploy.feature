Feature: The deploy file
  Guards against an instance that starts slower than it must: while a fleet restarts, callers find nobody.

  Scenario: A start compiles nothing
    Guards against a process that compiles the program anew at every start, since it cannot write into the repository.
    Given the compiled copy of the program that the build makes
    When the program is imported as the deploy file runs it
    Then all of its modules come from compiled code
