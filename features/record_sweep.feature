Feature: Sweep of expired results
  Expired results of calls that are not retried are dropped; the records stay.

  Scenario: Only expired results are dropped
    Guards against the loss of what a retry still needs: a result that has not
    expired, and at any age the record that the call ran.
    Given these records and a sweep that keeps results for 7 days
      | key  | state   | age in days | result |
      | k1   | done    | 6.9         | inline |
      | k2   | done    | 6.9         | object |
      | k3   | done    | 7.1         | inline |
      | k4   | done    | 7.1         | object |
      | k5   | done    | 400         | none   |
      | k6   | started | 400         | none   |
      | k7   | aborted | 400         | none   |
      | k8   | unread  | 400         | none   |
    When one instance sweeps
    Then only the records "k3, k4" have changed, to tombstones
    And only the object of "k2" is left
    And a retry of "k3, k4, k5" is refused with "result_expired"
    When one instance sweeps
    Then nothing is written

  Scenario Outline: A clock that is ahead
    Guards against a single wrong clock that makes the sweep drop the results of
    all calls.
    Given these records and a sweep that keeps results for 7 days
      | key | state | age in days | result |
      | k1  | done  | 1           | inline |
    When one instance sweeps while <clock>
    Then nothing is written

    Examples:
      | clock                                     |
      | its clock is 30 days ahead                |
      | the table's clock is 30 days ahead        |
      | its clock is ahead and the table has none |

  Scenario: Two concurrent sweeps
    Guards against an overwritten row that changed after the sweep read it.
    Given 20 expired records
    When two instances sweep the same rows in turn, and "k07" changes after both have read it
    Then the record "k07" is as it was changed
    And 19 records were dropped, each once

  Scenario: Limited rate of writes
    Guards against a sweep that takes table capacity from leases and calls, and
    one that never reaches the last rows.
    Given 120 expired records
    When pages are read once a second
    Then no second has more than 50 writes and one operation runs at a time
    And all are dropped after 3 pages

  Scenario Outline: The stores fail
    Guards against a sweep that goes on at a store which is down, skips rows
    after a failure, or leaves an object behind.
    Given 120 expired records
    When the <operation> of the second page is <status>
    Then the page ends without a further operation
    And all are dropped after 3 more passes

    Examples:
      | operation   | status  |
      | scan        | refused |
      | scan        | unknown |
      | first write | refused |
      | first write | unknown |

  Scenario: Workspaces are divided among instances
    Guards against a workspace that no instance sweeps.
    Then any workspaces are divided evenly among any members, each to one member

  Scenario: The component sweeps, but not while the table is down
    Guards against a sweep that adds load during an outage, and one that never
    resumes.
    Given a sweep component over a table with 3 expired records
    When the table does not answer for 5 s while it is polled
    Then the sweep scans no page from the third poll on
    When the table answers again
    Then the 3 records are dropped and counted
