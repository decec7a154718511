@fleet
Feature: An instance that stands still for a while
  Guards against conclusions about others that rest on the instance's own standstill. The fleet is three instances, the
  store and its endpoints as processes.

  @known_red
  Scenario Outline: An instance that stands still takes no engine for silent
    Guards against second runs, and against sound engines that all instances leave out, after one of them was suspended:
    what the engines sent meanwhile waits in its sockets.
    Given a relay fleet
    When an instance stands still for <stand> seconds while engines go on with 6 streams
    Then each stream is complete and ran once
    And no instance takes an engine for silent
    And the instance has not taken the store for lost

    Examples:
      | stand |
      | 0.8   |
      | 1.2   |
      | 3.4   |
