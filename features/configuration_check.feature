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

  Scenario: A row of the platform without faults
    Guards against warnings about a row in which every part has its effect.
    Given the row of a sound serving configuration
    When the row is checked
    Then the check reports no errors and no warnings

  Scenario Outline: Parts of a row that never match, and limits that contradict each other
    Guards against a row that is served though a part of it has no effect, or a limit cannot be met; the operator reads
    of it in the names that the row has.
    Given the row of a sound serving configuration
    And in the row <path> is <value>
    When the row is checked
    Then the check reports the warning "<key>" in the row file

    Examples: never match
      | path                            | value                                   | key                    |
      | routes 1 prefix                 | "/draft/"                               | routes[draft].prefix   |
      | routes 0 host                   | ""                                      | routes[draft].host     |
      | routes 0 host                   | "h.example:80"                          | routes[draft].host     |
      | routes 0 prefix                 | "/draft"                                | routes[draft].prefix   |
      | routes 0 prefix                 | "draft/"                                | routes[draft].prefix   |
      | routes 1 name                   | "draft"                                 | routes[draft]          |
      | routes 0 service                | "none"                                  | routes[draft].split    |
      | routes 0 service                | "none"                                  | services[letters]      |
      | routes 0 split                  | [{"service": "letters", "weight": 0}]   | routes[draft].split    |
      | routes 0 split                  | [{"service": "letters", "weight": 0}]   | services[letters]      |
      | routes 0 split                  | [{"service": "letters"}, {"service": "ledger", "weight": 0}] | routes[draft].split |
      | routes 0 split                  | [{"service": "letters"}, {"service": "letters"}] | routes[draft].split |
      | routes 1 gapAimMs               | 100                                     | routes[look].gapAimMs  |
      | tenants 0 apiKeys               | []                                      | tenants[w].apiKeys     |
      | tenants 0 apiKeys               | ["key-w", "key-w"]                      | tenants[w].apiKeys     |
      | tenants 0 apiKeys               | ["key-v"]                               | tenants[w].apiKeys     |
      | tenants 1 name                  | "w"                                     | tenants[w]             |

    Examples: contradict
      | path                            | value  | key                                |
      | routes 0 targetLatencyMs        | 5001   | routes[draft].targetLatencyMs      |
      | routes 0 gapAimMs               | 5001   | routes[draft].gapAimMs             |
      | routes 0 timeoutMs              | 8001   | routes[draft].timeoutMs            |
      | services 0 coldPerS             | 0.1    | services[letters].coldPerS         |
      | services 0 maxConnections       | 7      | services[letters].maxConnections   |
      | limits maxHeaderBytes           | 100001 | limits.maxHeaderBytes              |
      | limits headerTimeoutMs          | 5001   | limits.headerTimeoutMs             |

  Scenario: A row whose tenants are empty
    Guards against an operator who takes an empty list for one that admits everybody.
    Given the row of a sound serving configuration
    And a copy of the row that is in force
    And in the row tenants is []
    When the row is checked
    Then the check reports the warning "tenants" in the row file
    And the check reports 5 changes, one of them "+ tenants = []"

  Scenario Outline: Tenants that are no list
    Guards against a row that admits everybody because of a value that isn't a list of tenants.
    Given the row of a sound serving configuration
    And in the row tenants is <value>
    When the row is checked
    Then the check reports the errors
      | key     |
      | tenants |

    Examples:
      | value   |
      | null    |
      | {}      |
      | ""      |

  Scenario: Keys that no route asks for
    Guards against workspaces whose keys no request is checked for.
    Given the row of a sound serving configuration
    And in the row routes 0 public is true
    And in the row routes 1 public is true
    When the row is checked
    Then the check reports the warning "tenants" in the row file

  Scenario: All errors of a row
    Guards against a check that stops at the first error, so that operators correct a row once per error.
    Given the row of a sound serving configuration
    And in the row version is "3"
    And in the row routes 0 timeoutMs is -1
    And in the row routes 1 is {"name": "look", "host": "h.example"}
    And in the row services 0 engine slots is null
    And in the row tenants 0 is 3
    And in the row limits is {}
    When the row is checked
    Then the check reports the errors
      | key                            |
      | version                        |
      | routes[draft].timeoutMs        |
      | routes[look].prefix            |
      | routes[look].kind              |
      | services[letters].engine.slots |
      | limits.maxHeaderBytes          |
      | limits.maxBodyBytes            |
      | limits.headerTimeoutMs         |
      | limits.idleTimeoutMs           |
      | tenants[0]                     |

  Scenario: Differences of a row from the one in force
    Guards against a change that its operator does not see, and against API keys in the output of the check.
    Given the row of a sound serving configuration
    And a copy of the row that is in force
    And in the row routes 0 targetLatencyMs is 250
    And in the row tenants 0 apiKeys is ["secret-w"]
    When the row is checked
    Then the check reports 2 changes, one of them "~ routes[draft].targetLatencyMs = 300 -> 250"
    And the report names no API key

  Scenario Outline: The exit codes of the verb
    Guards against a script that takes errors for warnings, or a comparison that was not made for one without changes.
    Given the row of a sound serving configuration
    And a copy of the row that is in force
    And in the row <path> is <value>
    When the verb "check" is run on the row with "<options>"
    Then it exits with <code> and its JSON has <reported>

    Examples:
      | path              | value  | options            | code | reported                        |
      | routes 0 priority | 1      |                    | 0    | 0 errors, 0 warnings            |
      | routes 0 service  | "none" |                    | 0    | 0 errors, 2 warnings            |
      | routes 0 priority | 1      | --against in_force | 0    | 0 errors, 0 warnings, 1 changes |
      | routes 0 priority | "1"    | --against in_force | 1    | 1 errors, 0 warnings            |
      | routes 0 priority | 1      | --in-force         | 2    | nothing                         |
