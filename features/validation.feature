Feature: Base and overlay files
  Operators change the fleet only through files; each error in a file must be reported.

  Scenario: An overlay adds an endpoint and changes one field
    Guards against an overlay that replaces the whole item instead of one field.
    Given the base file
      """
      [[deployments]]
      model = "letter"
      [[endpoints]]
      name = "letter-1"
      address = "127.0.0.1:9001"
      data_centre = "a"
      serves = "letter"
      kv_tokens = 400000
      """
    And the overlay file
      """
      [[endpoints]]
      name = "letter-1"
      cold_requests = 1
      [[endpoints]]
      name = "letter-2"
      address = "127.0.0.1:9002"
      data_centre = "b"
      serves = "letter"
      kv_tokens = 400000
      """
    When the files are merged
    Then the configuration has the endpoints "letter-1,letter-2"
    And the endpoint "letter-1" has 400000 KV tokens and takes 1 cold request

  Scenario: All errors are reported at once with file and key
    Guards against a check that stops at the first error, so that operators correct a file once per error.
    Given the base file
      """
      [[deployments]]
      model = "letter"
      deadline_s = "soon"
      [[workspaces]]
      name = "clerks"
      uses = ["letter"]
      key_digests = ["abc"]
      colour = "red"
      """
    And the overlay file
      """
      [[endpoints]]
      name = "letter-1"
      address = "nowhere"
      data_centre = "a"
      serves = "letter"
      [policy]
      long_share = 2.0
      """
    When the files are merged
    Then these errors are reported
      | file    | key                           |
      | base    | deployments[letter].deadline_s |
      | base    | workspaces[clerks].colour     |
      | base    | workspaces[clerks].key_digests |
      | overlay | endpoints[letter-1].address   |
      | overlay | policy.long_share             |

  Scenario Outline: The number of endpoints of a lease is limited
    Guards against leases without endpoints, and leases too large for one coordinator.
    Given the base file
      """
      [policy]
      endpoints_per_lease = <number>
      """
    When the files are merged
    Then these errors are reported
      | file | key                        |
      | base | policy.endpoints_per_lease |
    Examples:
      | number |
      | 0      |
      | 65     |
      | 2.5    |

  Scenario: References to unknown names are errors
    Guards against a workspace or endpoint that refers to a service or deployment that does not exist.
    Given the base file
      """
      [[deployments]]
      model = "letter"
      [[endpoints]]
      name = "letter-1"
      address = "127.0.0.1:9001"
      data_centre = "a"
      serves = "ledger"
      [[workspaces]]
      name = "clerks"
      uses = ["ledger"]
      key_digests = ["abc"]
      """
    When the files are merged
    Then these errors are reported
      | file | key                            |
      | base | deployments[letter]            |
      | base | endpoints[letter-1].serves     |
      | base | workspaces[clerks].key_digests |
      | base | workspaces[clerks].uses        |

  Scenario: References are checked beside other errors
    Guards against a check that reports unknown names only once all other errors are corrected, and against names that
    count as unknown because their item has another error.
    Given the base file
      """
      [[deployments]]
      model = "letter"
      deadline_s = "soon"
      [[services]]
      name = "ledger"
      [[endpoints]]
      name = "letter-1"
      address = "127.0.0.1:9001"
      data_centre = "a"
      serves = "letter"
      kv_tokens = 400000
      [[endpoints]]
      name = "ledger-1"
      address = "nowhere"
      data_centre = "a"
      serves = "ledger"
      [[workspaces]]
      name = "clerks"
      uses = ["letter", "ledger", "notes"]
      key_digests = []
      """
    When the files are merged
    Then these errors are reported
      | file | key                            |
      | base | deployments[letter].deadline_s |
      | base | endpoints[ledger-1].address    |
      | base | workspaces[clerks].uses        |

  Scenario: The burn rate is computed from the counts of all instances
    Guards against a mean of the burn rates of instances, which is wrong when their load differs.
    Given an instance that counted 990 good and 10 bad answers
    And an instance that counted 0 good and 0 bad answers
    Then the burn rate of "answered" over 300 s is 10.0
