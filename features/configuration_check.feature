Feature: Check of a configuration before it is sent
  Operators get every error, every part that never matches and every limit that contradicts another at once, each with
  its file and key.

  Scenario: Files without faults
    Guards against warnings about a configuration in which every part has its effect.
    Given a base file of a sound configuration
    When the files are checked
    Then the check reports no errors and no warnings

  Scenario Outline: Parts that never match and limits that contradict each other
    Guards against a configuration that is accepted though a part of it has no effect, or a limit cannot be reached.
    Given a base file of a sound configuration
    And an overlay file with "<change>"
    When the files are checked
    Then the check reports the warning "<key>" in the <file> file

    Examples: never match
      | change                                                               | key                                 | file    |
      | [[workspaces]]\nname = "clerks"\nkey_digests = []                    | workspaces[clerks].key_digests      | overlay |
      | [[workspaces]]\nname = "clerks"\nkey_digests = []                    | services[ledger]                    | base    |
      | [[workspaces]]\nname = "clerks"\nuses = []                           | workspaces[clerks].uses             | overlay |
      | [[workspaces]]\nname = "clerks"\nuses = ["letter"]                   | services[ledger]                    | base    |
      | [[workspaces]]\nname = "clerks"\nuses = ["letter", "letter"]         | workspaces[clerks].uses             | overlay |
      | [[workspaces]]\nname = "clerks"\nkey_digests = ["{a}", "{a}"]        | workspaces[clerks].key_digests      | overlay |
      | [[endpoints]]\nname = "ledger-1"\nkv_tokens = 5                      | endpoints[ledger-1].kv_tokens       | overlay |
      | [policy]\nlong_prompt_tokens = 600000                                | policy.long_prompt_tokens           | overlay |

    Examples: contradict
      | change                                                               | key                                 | file    |
      | [[endpoints]]\nname = "letter-1"\ncold_requests = 33                 | endpoints[letter-1].cold_requests   | overlay |
      | [[endpoints]]\nname = "ledger-1"\nwarm_requests = 1                  | endpoints[ledger-1].cold_requests   | base    |
      | [[endpoints]]\nname = "letter-1"\ncold_kv_tokens = 400001            | endpoints[letter-1].cold_kv_tokens  | overlay |
      | [[endpoints]]\nname = "letter-1"\ncold_kv_tokens = 0                 | endpoints[letter-1].cold_kv_tokens  | overlay |
      | [[deployments]]\nmodel = "letter"\nmax_prompt_tokens = 700000        | deployments[letter].max_prompt_tokens | overlay |
      | [[deployments]]\nmodel = "letter"\ndeadline_s = 12                   | deployments[letter].deadline_s      | overlay |
      | [[services]]\nname = "ledger"\ndeadline_s = 700000                   | services[ledger].deadline_s         | overlay |
      | [policy]\nlong_share = 0                                             | policy.long_share                   | overlay |
      | [policy]\nshort_reserve = 1                                          | policy.short_reserve                | overlay |

  Scenario Outline: Limits of an instance that contradict
    Guards against limits of a process that no request can meet.
    Given a base file of a sound configuration
    And a settings file with "<limit>"
    When the files are checked
    Then the check reports the warning "<key>" in the <file> file

    Examples:
      | limit                    | key                                   | file     |
      | header_bytes = 9000000   | limits.header_bytes                   | settings |
      | buffered_bytes = 8000000 | limits.buffered_bytes                 | settings |
      | body_bytes = 1000000     | deployments[letter].max_prompt_tokens | base     |

  Scenario: Errors of all files
    Guards against a check that hides the errors of the settings behind those of the configuration.
    Given a base file of a sound configuration
    And an overlay file with "[policy]\nlong_share = 2"
    And a settings file with "header_bytes = "
    When the files are checked
    Then the check reports errors in the settings and overlay files and no warnings
