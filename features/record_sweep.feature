Feature: Sweep of expired results
  Results whose key nobody repeats are dropped after their time, and records stay.

  Scenario: What is dropped
    Guards against a record that a repeat still needs: a result before its time, and at any age the proof that a call ran.
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
    And a repeat of "k3, k4, k5" is told "result_expired"
    When one instance sweeps
    Then nothing is written

  Scenario Outline: A clock that is ahead
    Guards against one wrong clock that drops the results of all calls.
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

  Scenario: Two sweeps at once
    Guards against a row that changed after it was read and is overwritten.
    Given 20 expired records
    When two instances sweep the same rows in turn, and "k07" changes after both have read it
    Then the record "k07" is as it was changed
    And 19 records were dropped, each once

  Scenario: Bounded work
    Guards against a sweep that crowds out leases and calls, and one that never reaches the last rows.
    Given 120 expired records
    When pages are read once a second
    Then no second has more than 50 writes and one operation runs at a time
    And all are dropped after 3 pages

  Scenario Outline: The stores fail
    Guards against a sweep that presses on a store which is down, loses its place, or forgets an object.
    Given 120 expired records
    When the <operation> of the second page is <status>
    Then the page ends and nothing more is asked for
    And all are dropped after 3 more rounds

    Examples:
      | operation   | status  |
      | scan        | refused |
      | scan        | unknown |
      | first write | refused |
      | first write | unknown |

  Scenario: Workspaces are shared out
    Guards against a workspace that no instance sweeps.
    Then any members share any workspaces out, each to one of them and evenly

  Scenario: The component sweeps, but not while the table is down
    Guards against a sweep that adds to an outage, and one that never runs.
    Given a sweep component over a table with 3 expired records
    When the table does not answer for 5 s while it is polled
    Then the sweep reads nothing from the third poll on
    When the table answers again
    Then the 3 records are dropped and counted
