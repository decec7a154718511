Feature: Services whose engines can't bear two usual prompts in one pass
  Guards against a setting that changes how requests are placed at services whose promises leave room for a crowded
  pass, and against one that has no effect where they don't.

  Scenario Outline: Short waits follow from what callers are promised
    Load: engines of 8 slots that are full, and two prompts of the usual length that are placed there at once. A pass
    without prefill takes some 60 ms, and a prompt of 11,000 tokens 78 ms.
    Given short waits <where>
    And engines with prompts of <prompt_tokens> tokens as usual
    And promised gaps of <gaps_ms> ms
    Then the service <has> short waits

    Examples:
      | where                | prompt_tokens | gaps_ms  | has    |
      | nowhere              | 11000         | 150      | hasn't |
      | everywhere           | 11000         | 600      | has    |
      | everywhere           | 0             | 0        | has    |
      | where gaps are tight | 11000         | 300      | hasn't |
      | where gaps are tight | 11000         | 200      | has    |
      | where gaps are tight | 11000         | 600, 200 | has    |
      | where gaps are tight | 20000         | 300      | has    |
      | where gaps are tight | 0             | 150      | hasn't |
      | where gaps are tight | 11000         | 0        | hasn't |

  Scenario: A plain service has no engines to spread shorts over
    Given short waits everywhere
    Then the plain service hasn't short waits
