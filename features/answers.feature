Feature: Answers assembled from token streams
  Guards against an answer that contains tokens of another one, and against a
  truncated answer that is reported as complete.

  Scenario: A stream split at any byte
    Guards against a parser whose result depends on where a read ends.
    Then 300 streams split at any bytes give the same chunks as without a split

  Scenario: Chunks out of order, duplicated or lost
    Guards against duplicate, missing and late chunks that change the text.
    Then 400 streams with chunks out of order, duplicated or lost, resumed on request, give the engine's text or a truncated answer

  Scenario: Several attempts
    Guards against tokens of one attempt in the answer of another.
    Then 400 histories of interleaved attempts give one attempt's text or a truncated answer

  Scenario: A second attempt after tokens were delivered
    Guards against a caller that gets the beginning of one answer and the end of another.
    Given an answer of which two tokens were delivered
    Then a new attempt with other tokens may not begin
    And a new attempt with the same tokens continues the answer
    And a new attempt may not begin once the answer is complete

  Scenario Outline: An end marker that does not match the tokens
    Guards against an end marker that completes a truncated or wrong answer.
    Given an answer of which two tokens were delivered
    When the end marker says offset <offset> and <tokens> tokens
    Then the assembled answer is <outcome>

    Examples:
      | offset | tokens | outcome      |
      | 2      | 2      | complete     |
      | 1      | 1      | truncated    |
      | 2      | 3      | truncated    |
      | 3      | 3      | resumed at 2 |

  Scenario: A token that never arrives
    Guards against resuming without end at an engine that skips a token.
    Given an answer of which two tokens were delivered
    Then it is resumed 3 times without a token and truncated after that

  Scenario Outline: Bytes that are not a valid stream
    Guards against a parser that skips invalid events and so loses text. `{long}` stands for 200,000 bytes.
    When the stream is "<bytes>"
    Then its last chunk is broken and nothing after it is parsed

    Examples:
      | bytes                                        |
      | data: {"offset": 0, "text": "a"\n\n          |
      | data: {"offset": "0", "text": "a"}\n\n       |
      | data: {"offset": 0}\n\n                      |
      | data: {"offset": 0, "text": "\xff"}\n\n      |
      | data: [DONE]\n\n                             |
      | data: {long}                                 |

  Scenario: Complete and truncated answers to a caller
    Guards against a truncated answer that a caller takes for a complete one.
    Then a complete stream ends with its finish reason and the end marker
    And a truncated stream ends with an error that does not say "not run"

  Scenario: Prompt tokens
    Guards against a count that differs from the engines' own.
    Then prompts of 0, 1, 4 and 5 characters have 0, 1, 1 and 2 tokens
