@fleet
Feature: The soak
  Guards against promises that hold in each scenario and not when faults meet. Longer runs are by hand:
  python -m features.support.soak --seeds 50.

  Scenario Outline: A short run keeps all promises
    Guards against charges that run twice, untrue refusals, wrong answers, late changes and requests without an end
    while processes are killed, paused, stopped and reloaded, links reset, delayed, cut and silenced, and the store away.
    Then the soak of <seconds> seconds with seed <seed> breaks no promise

    Examples:
      | seed   | seconds |
      | 1      | 10      |

    @known_red
    Examples: Seeds that failed
      # A charge waited for an instance that was paused for 3.8 s; the check asked for an end all the same.
      # The poller's counter of skipped turns was missing at the start of each instance.
      | seed   | seconds |
      | 143244 | 10      |
