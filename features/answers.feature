Feature: Answers put together from streams
  Guards against an answer with another one's tokens in it, and against a short
  answer that is called whole.

  Scenario: Any cut of the bytes
    Guards against a parser that depends on where a read ends.
    Then 300 streams cut at any places give the same chunks as in one piece

  Scenario: Any order and doubling of chunks
    Guards against repeats, gaps and late chunks that change the text.
    Then 400 streams with chunks in any order, doubled or lost, resumed when asked, give the engine's text or a cut answer

  Scenario: Several attempts
    Guards against tokens of one attempt in the answer of another.
    Then 400 histories of attempts that come mixed up give one attempt's text or a cut answer

  Scenario: A second attempt after tokens were handed on
    Guards against a caller that gets the beginning of one answer and the end of another.
    Given an answer of which two tokens were handed on
    Then a new attempt with other tokens may not begin
    And a new attempt with the same tokens goes on from there
    And a new attempt may not begin once the answer is whole

  Scenario Outline: A stream that contradicts itself
    Guards against an end marker that makes a short or wrong answer whole.
    Given an answer of which two tokens were handed on
    When the end marker says offset <offset> and <tokens> tokens
    Then the assembled answer is <outcome>

    Examples:
      | offset | tokens | outcome      |
      | 2      | 2      | whole        |
      | 1      | 1      | cut          |
      | 2      | 3      | cut          |
      | 3      | 3      | resumed at 2 |

  Scenario: A token that never comes
    Guards against resuming without end at an engine that skips a token.
    Given an answer of which two tokens were handed on
    Then it is resumed 3 times without a token and cut after that

  Scenario Outline: Bytes that are no stream
    Guards against broken events that are skipped, which would shorten the text.
    When the stream is "<bytes>"
    Then its last chunk is broken and nothing after it is taken

    Examples:
      | bytes                                        |
      | data: {"offset": 0, "text": "a"\n\n          |
      | data: {"offset": "0", "text": "a"}\n\n       |
      | data: {"offset": 0}\n\n                      |
      | data: {"offset": 0, "text": "\xff"}\n\n      |
      | data: [DONE]\n\n                             |
      | data: {long}                                 |

  Scenario: Whole and cut answers to a caller
    Guards against a cut answer that a caller takes for a whole one.
    Then a whole stream ends with its finish reason and the end marker
    And a cut stream ends with an error that does not say "not run"

  Scenario: Prompt tokens
    Guards against a count that differs from the engines' own.
    Then prompts of 0, 1, 4 and 5 characters have 0, 1, 1 and 2 tokens
