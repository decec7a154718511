Feature: Answers that never end, and answers without progress
  Guards against one engine that takes an instance's memory and processor time, or a caller's whole time, by bytes
  that never become an answer; and against sound streams that are cut because they are slow.

  Scenario: An event without an end
    Guards against memory and search time that grow with each byte of an event that never ends.
    Given a resumable stream that has received 2 events
    When its engine sends 8 MB of an event without a blank line
    Then at most 300 KB of it were read before it is sent to another engine
    And the endpoint is reported as garbled

  Scenario: A long event is searched once
    Guards against a search of the complete buffer at each read of a long event.
    Then an event of 250 KB that arrives in 25 byte parts is parsed within 1 second

  Scenario Outline: Bytes without an event are no progress
    Guards against a stalled stream that is kept alive by bytes that tell the caller nothing.
    Given a resumable stream that has received 2 events
    When its engine sends "<bytes>" every 0.1 seconds for 5 seconds
    Then it is sent to another engine and resumes after event 2

    Examples:
      | bytes            |
      | : comment\n\n    |
      | data:\n\n        |
      | \n\n             |
      | event: ping\n\n  |
      | d                |

  Scenario: A comment reaches the caller unchanged
    Guards against an answer whose body differs from the engine's.
    Given a resumable stream that has received 2 events
    When its engine sends ": comment\n\n" every 0.1 seconds for 0.1 seconds
    Then the caller received the comment

  Scenario: A slow stream lives
    Guards against a sound stream that is cut because its engine is slow.
    Given a stream whose route allows pauses of 0.6 seconds
    When its engine sends an event every 1.4 seconds for 60 seconds
    Then all events were forwarded and no attempt was closed

  Scenario: Interim answers without end
    Guards against an engine that sends 1xx answers for as long as the request waits.
    When an engine sends interim answers without end
    Then the answer is refused after at most 20 KB

  Scenario: A stale answer without end
    Guards against an answer to an earlier request that is skipped for as long as it lasts.
    When an answer to an earlier request never ends
    Then the connection is given up after at most 300 KB

  Scenario: An event of the product's own engine wire without an end
    Guards against data lines that are collected without a limit.
    When an engine of the own wire sends data lines without a blank line
    Then its stream is broken after at most 2 MB
