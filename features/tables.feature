Feature: Copies of the platform's tables
  Guards against copies that are out of date, incomplete or reverted when the store or the network fails.

  Scenario Outline: Any history of answers ends with the table's content
    Guards against a row that stays after its removal, or reverts to older content, when answers overtake each
    other, history is lost, reads are behind, checks fail, rows change between pages or peers' copies arrive in between.
    Then in <count> random histories of <whom> the copies never revert and end equal to the table

    Examples:
      | count | whom                           |
      | 500   | followers                      |
      | 200   | a non-follower and a follower  |
      | 200   | followers with unordered pages |

  Scenario: A change that the store sends only to other instances is taken from them
    Guards against a revoked key or a leaving endpoint that one instance never learns of.
    Given a copy whose store does not answer
    When a peer reports a higher version
    Then the peer is asked 0.2 seconds later and its copy is applied

  Scenario: A store that fails is called at a limited rate
    Guards against repeated calls that have a price and no result.
    Given a copy whose store refuses all calls
    Then in 10 seconds it is called at most 9 times

  Scenario: A lost history is followed by a read of all rows
    Guards against missing the changes in the gap, for example an endpoint that left.
    Given a copy of a table with 3 rows
    When the store has lost its history and a row was removed
    Then all rows are read and the copy drops the removed row

  Scenario: A row that is removed and written again in one answer is no removed row
    Guards against endpoints that are all dropped because their entries expired and came back while an instance had no
    answer of the store.
    Given a copy of a table with 3 rows
    When one answer has a row removed and written again, and another one written and removed
    Then the change has each row once, as it is at the end

  Scenario Outline: An odd row of the instances' table names no member
    Guards against a row of another writer that ends all messages to the instances after it, or the list of members.
    Given a table of instances with a sound row and one with <oddity>
    When an instance starts
    Then it learns of the sound one only

    Examples:
      | oddity             |
      | no host            |
      | a host that is none |
      | a port of 20 digits |
      | port 0             |
      | a nested field     |

  Scenario: Instances that start together find each other
    Guards against members that never learn of each other because all of them read the table of instances before any had written
    its row.
    Given two instances that both read the table of instances before either has written its row
    When both have written their rows
    Then at least one of them learns of the other
