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

  Scenario: A change that the own waits have passed is taken from a peer
    Guards against an instance of a large fleet, whose waits are long, that takes the newest version that a wait named for
    what it knows, and asks no peer for a change that was withheld.
    Given a copy of a table with 3 rows of an instance that is no follower
    When two waits end without rows and the second one withholds a change
    And a peer reports the version of that change
    Then the peer is asked for it 0.2 seconds later

  Scenario: A removal that a copy knows while it is behind is told to its peers
    Guards against a row that one copy keeps for good, since another one that has removed it is behind like itself.
    Given two copies that are behind, one of which knows that a row was removed
    When the other one asks it
    Then both have removed the row

  Scenario: A store that fails is called at a limited rate
    Guards against repeated calls that have a price and no result.
    Given a copy whose store refuses all calls
    Then in 10 seconds it is called at most 9 times

  Scenario: A lost history is followed by a read of all rows
    Guards against missing the changes in the gap, for example an endpoint that left.
    Given a copy of a table with 3 rows
    When the store has lost its history and a row was removed
    Then all rows are read and the copy drops the removed row

  Scenario Outline: A history that is lost with each call leads to a bounded rate of calls
    Guards against a loop of calls to a store that keeps no history: two losses in each batch wait of 0.2 s at most, two
    checks for each of them, and a read of all rows for each change and each 0.8 s.
    Given a copy whose store answers
    When the history is lost with each call for 60 seconds, and a row changes <times> times
    Then it is called at a rate that its settings bound, and the copy has each row

    Examples:
      | times |
      | 0     |
      | 60    |

  Scenario Outline: Reads that stay behind lead to a bounded rate of calls
    Guards against a loop of calls while reads are behind, against a copy that stays behind once they are current, and
    against a store that counts as unreachable since it refuses checks, so that other instances follow it as well. The
    settings wait 0.2 s (a follower without a check) or 0.8 s between reads, at least 0.1 s after a failed check, and 1 s
    for its answer.
    Given a copy of <whom> whose store answers checks <manner>
    When its history is lost and its reads are behind for 60 seconds
    Then it is called at most <waits> times a second for changes, <checks> for checks and <reads> for reads
    And the store has always seemed to answer
    And the copy is current <within> seconds after its reads

    Examples:
      | whom           | manner        | waits | checks | reads | within |
      | a follower     | with the rows | 2     | 1      | 1.3   | 0.9    |
      | a follower     | with 403      | 10    | 10     | 5     | 0.3    |
      | a follower     | with 429      | 10    | 10     | 5     | 0.3    |
      | a follower     | never         | 1     | 1      | 1     | 1.3    |
      | a non-follower | with the rows | 2     | 1      | 1.3   | 0.9    |
      | a non-follower | with 403      | 10    | 10     | 1.3   | 0.9    |
      | a non-follower | with 429      | 10    | 10     | 1.3   | 0.9    |
      | a non-follower | never         | 1     | 1      | 1     | 1.9    |

  Scenario Outline: Checks without an answer hold up no read
    Guards against a copy that is behind for 2.4 s after reads have become current: a check began just before the next
    read was due, and the read had to wait for the check's timeout.
    Given a copy of <whom> whose store answers checks never
    Then in 30 courses the copy is current 1.9 seconds after its reads, whenever that is

    Examples:
      | whom           |
      | a follower     |
      | a non-follower |

  Scenario Outline: Reads that fail hold up no change
    Guards against a copy that learns of no change although the store answers waits: a read that failed stayed due, and
    went before each wait.
    Given a copy of <whom> whose store answers checks with the rows
    When its history is lost and reads get <answer>, and a row changes 5 seconds later
    Then the copy has that change 2 seconds later

    Examples:
      | whom           | answer    |
      | a follower     | a refusal |
      | a follower     | no answer |
      | a non-follower | a refusal |
      | a non-follower | no answer |

  Scenario Outline: A check that got no answer puts off no check of a later loss
    Guards against a copy that is not checked any more, since a read that fails goes before each check.
    Given a copy of a non-follower whose store answers checks never
    When its history is lost and its reads are behind for 60 seconds
    And the store answers all again, and its history is lost once more while reads get <answer>
    Then the copy has the change 2 seconds later

    Examples:
      | answer    |
      | a refusal |
      | no answer |

  Scenario Outline: Reads that go on while they are behind put off no check
    Guards against a version that is not in force as long as reads are behind: each of them called off the check, and the
    loss of history after it began the delay of another one.
    Given a copy of <whom> whose store answers checks with the rows
    When its history is lost after each read, which names a newer version without the last change
    Then the copy has the change once the longest delay of a check is over

    Examples:
      | whom           |
      | a follower     |
      | a non-follower |

  Scenario Outline: A check that is older than what is proven ends no doubt
    Guards against final refusals, 404 and 401, by a configuration that is known to be old, since a check was believed
    although an earlier answer disproves it.
    Given a copy of <whom> whose store answers checks with the rows
    When its history is lost, and reads and checks are behind for 10 seconds
    Then its rows are doubted all the time, with at most 10 checks a second
    And the copy is current 1.9 seconds after checks

    Examples:
      | whom           |
      | a follower     |
      | a non-follower |

  Scenario: A check whose answer lists some of the rows is followed by a check of the others
    Guards against rows that are removed unnoticed, since the store lists only those that exist.
    Given a copy of 3 rows
    When the history is lost and rows are checked
    Then a second check has the rows that the first one did not list

  Scenario: A large table is checked in several calls
    Guards against a check that the store refuses because it has more than 100 rows.
    Given a copy of 250 rows
    When the history is lost and rows are checked
    Then each row is checked, in calls of at most 100

  Scenario: A row that is older than the known one is named
    Guards against rows that are dropped without a trace, so that the logs can't tell an old answer from one that changes
    nothing.
    Given a copy of a table with 3 rows
    When an answer has an older state of one of them, and another one unchanged
    Then the change names the older row only

  Scenario Outline: A removed row that is shown again does not come back
    Guards against requests to an endpoint that left, because an answer or a peer's copy is older than its removal.
    Given a copy that has learned of a removed row by <source>
    When <other> shows the row again
    Then the copy has the row no more

    Examples:
      | source   | other                      |
      | a change | an old read                |
      | a change | a peer whose copy is behind |
      | a check  | an old read                |
      | a check  | a peer whose copy is behind |

  Scenario: A row that is removed and written again in one answer is no removed row
    Guards against endpoints that are all dropped because their entries expired and came back while an instance had no
    answer of the store.
    Given a copy of a table with 3 rows
    When one answer has a row removed and written again, and another one written and removed
    Then the change has each row once, as it is at the end
    And it has the states in between in order

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

  Scenario Outline: Any history with restored stores ends with the table's content
    Guards against rows that are kept for good, released early or not taken once they are written again, when the store
    comes back from older copies while answers and peers' copies are late, history is lost or reads are behind.
    Then in <count> random histories of <whom> whose store is restored, rows are kept in time and the copies end equal to the table

    Examples:
      | count | whom                           |
      | 80    | followers                      |
      | 50    | a non-follower and a follower  |
      | 40    | followers with unordered pages |

  # Engines write their entries again within 2 s of the store's return, and operators their changes within 30 s.
  Scenario Outline: What the store has lost is kept for some time
    Guards against requests to an endpoint that left, and against a configuration that reverts, before those who made the
    lost changes make them again, and against rows that stay for good if they don't.
    Given a copy of the table "<table>" that is current
    When the store loses a <change>
    Then the copy keeps it for <kept> seconds
    And the copy is as the store at most 2 seconds later

    Examples:
      | table    | change  | kept |
      | op/      | row     | 30   |
      | op/      | content | 30   |
      | op/      | removal | 30   |
      | servers/ | row     | 3    |
      | servers/ | content | 30   |
      | servers/ | removal | 30   |

  Scenario Outline: A second restore begins the kept time anew
    Guards against a row that is released before those who wrote it know that it is lost once more.
    Given a copy of the table "<table>" that is current
    When the store loses a <change>
    And the store is restored once more 2 seconds later
    Then the copy keeps it for <kept> seconds
    And the copy is as the store at most 2 seconds later

    Examples:
      | table    | change  | kept |
      | servers/ | row     | 3    |
      | op/      | content | 30   |
      | op/      | removal | 30   |

  Scenario Outline: A lost change that is written again is in force in time
    Guards against a row that is taken for a lost one, since its number isn't above the known one.
    Given a copy of the table "op/" that is current
    When the store loses a <change>
    And the lost change is written again <manner>
    Then the copy has it in time and keeps nothing

    Examples:
      | change  | manner             |
      | row     | at the same number |
      | row     | at a higher number |
      | content | at the same number |
      | content | at a higher number |
      | removal | at the same number |
      | removal | at a higher number |

  Scenario Outline: Another change at the number of a lost one is in force in time
    Guards against a row that is told from a lost one by its number only.
    Given a copy of the table "op/" that is current
    When the store loses a <change>
    And another content is written at the number of the lost one
    Then the copy has it in time and keeps nothing

    Examples:
      | change  |
      | row     |
      | content |
      | removal |

  Scenario: A read of all rows during which the store is restored is begun again
    Guards against a lost row that is dropped at once, since it is on no page: the first one is as it was before the
    restore, and the others as after it.
    Given a copy of the table "op/" that is read in pages of 2 rows
    When all rows are read, and the store loses a row between the first and the second page
    Then the copy keeps it for 30 seconds
    And the copy is as the store at most 2 seconds later

  Scenario: A store that is restored twice without a loss
    Guards against rows that count as reverted although they are as they were.
    Given a copy of the table "op/" that is current
    When the store is restored twice without a loss
    Then the copy keeps nothing

  Scenario: A late answer of an earlier era
    Guards against a content that comes back from an answer that the store gave before it was restored.
    Given a copy of the table "op/" that is current
    When an answer of the earlier era arrives late
    Then it changes nothing

  Scenario: A peer's copy of an earlier era
    Guards against rows that come back from an instance that was cut off, after all others have released them.
    Given a copy of the table "op/" that is current
    When a peer's copy of the earlier era arrives after the rows were released
    Then the copy keeps nothing

  Scenario Outline: An instance that hears of a restored store from a peer first
    Guards against a row that an instance keeps for good: it has all newer rows from a peer that keeps it for now, so that
    it reads nothing itself.
    Given a copy of the table "<table>" that is current
    When it hears of the new era from a peer while the store is away
    Then it has the new rows at once and keeps the lost one
    When the store is back
    Then the copy is as the store at most <within> seconds later

    Examples:
      | table    | within |
      | op/      | 32     |
      | servers/ | 5      |

  Scenario: A kept removal that is told to an instance which has the row again
    Guards against a row that an instance lacks for good, since a peer's copy without it was taken for the store's state.
    Given a copy of the table "op/" that is current
    When a copy that keeps a removal is asked by one that has the row again
    Then both have the row once it is released

  Scenario: Rows are released while reads are behind
    Guards against a lost content that stays for good, since the only read after its release was older than the copy.
    Given a copy of the table "op/" that is current
    When rows are released while reads are behind for 6 seconds
    And reads are current again
    Then the copy is as the store at most 2 seconds later

  Scenario: Reads of a restored store that are older than its first answer
    Guards against changes before the restore that are told once more, and taken for new ones.
    Given a copy of the table "op/" that is current
    When reads of the restored store name less than it did at first
    Then the copy is known to be behind
    And the copy keeps it for 25 seconds

  Scenario: A removal that is kept and made again
    Guards against an evacuation that stays in force at others, who read it from the restored store, since those that kept
    its end didn't tell them of the new one.
    Given a copy of the table "op/" that is current
    When the store loses a removal
    And the lost change is written again at a higher number
    Then the copy has it in time and keeps nothing
    And it has told the others of the removal

  Scenario: A removal in the new era that is found before the copy has reached it
    Guards against requests to an endpoint whose removal was acknowledged after the restore: a check found its entry
    absent, which was taken for a loss.
    Given a copy of the table "servers/" that is current
    When the store is restored, and a row is removed between its first answer and the next one
    Then the copy has it in time and keeps nothing

  Scenario: A removal between the return of the store and its first answer
    Guards against requests to an endpoint whose removal was acknowledged before the instance heard of the restore: it was
    taken for a loss.
    Given a copy of the table "servers/" that is current
    When the store is restored, and a row is removed before its first answer
    And a peer tells what the store named before the removal
    Then the copy has it in time and keeps nothing

  Scenario Outline: A peer that has heard of the restored store no earlier
    Guards against waits that are called off without need, and against changes of an earlier era.
    Given a copy of the table "servers/" that is current
    When the store is restored, and a row is removed between its first answer and the next one
    And a peer tells of <what>
    Then its wait goes on

    Examples:
      | what             |
      | the same version |
      | a later version  |
      | no version       |
      | an earlier era   |

  Scenario: The own registration is lost
    Guards against instances that find nobody, as they start after the store was restored from a copy without the rows of
    those that run.
    Given an instance that has written its row
    When the store loses the row and the table is read again
    Then it writes its row once more, on condition that there is none
