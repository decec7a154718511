Feature: Log lines and the timeline of a request
  Guards against requests that block on a slow log reader, logs of unlimited size, and failures that cannot be explained.

  Scenario: A stalled reader loses lines but does not block the writer
    Guards against a process that blocks on a full pipe because nothing reads its output.
    Given log lines written to a pipe that nothing reads
    When 20000 lines are written within a second
    Then writing took less than 2 seconds
    And dropped lines are counted and reported once the pipe is read

  Scenario: A burst of lines is limited
    Guards against logs that fill the disk under load.
    Given log lines written to a pipe that is read
    When 10000 lines are written at one moment
    Then 2000 of them are written
    And dropped lines are counted and reported once the pipe is read

  Scenario: Lines are complete when the reader takes them in parts
    Guards against incomplete lines in the middle of a log after a partial write.
    Given log lines written to a pipe that is read slowly
    When 1500 lines are written within a second
    Then each line that was read is complete JSON

  Scenario: A request's timeline is assembled from several logs
    Guards against a failed request whose cause cannot be found because its lines are spread over instances.
    Given logs of two instances with incomplete, unrelated and prefixed lines
    When the timeline of request "r-1" is requested
    Then it has the lines about it in order and the state changes of its endpoint
    And it has no line about other requests or endpoints

  Scenario: A request that is in no log
    Guards against empty output without an error for a mistyped request id.
    Given logs of two instances with incomplete, unrelated and prefixed lines
    Then the tool exits with 6 for request "r-9" and prints how many lines it read
    And the tool exits with 0 for request "r-1" and prints JSON
