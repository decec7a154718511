Feature: Quarantined prompt parts in the platform's store
  Guards against instances that start and send a prompt part that crashes engines, which the others have in quarantine.

  Scenario: A new instance reads the quarantine
    Given a running instance
    When it quarantines "p" for 60 s after 2 relapses
    Then the row has exactly "p"
    When a new instance starts
    Then it reads "p" for 60 s after 2 relapses, with one read and no write

  Scenario: A quarantine of parts that aren't told apart is stored with all of them
    Guards against a new instance that refuses sound prompts with one of the parts.
    Given a running instance
    When it quarantines "p" beside "a b"
    Then the row has "p" beside "a b"
    When a new instance starts
    Then it reads "p" beside "a b"
    When it quarantines "p" beside "b"
    Then the row has "p" beside "b"
    When it quarantines "q" beside 65 others
    Then the row has exactly "p"

  Scenario: Many instances that start at once read the quarantine
    Guards against a fleet that loses the quarantine in a restart, and against reads that add up.
    Given a row that quarantines "p" for 60 s
    When 20 instances start at once
    Then each reads "p", with one read and no write

  Scenario: Instances that write at the same time keep both parts
    Given 2 running instances
    When they quarantine "p" and "q" at the same time
    Then the row has exactly "p, q"
    And the store got at most 4 writes

  Scenario: Instances that decide the same do not write in a loop
    Given 20 running instances
    When they quarantine "p" at the same time
    Then the row has exactly "p"
    And the store got at most 20 writes

  Scenario Outline: A store that fails for a while gets the row in the end
    Guards against a quarantine that is lost because the store was away when it was decided, and against calls to a store
    that does not answer.
    Given a running instance
    When the store's writes are <fault> for 3 s while it quarantines "p" for 60 s
    Then the store got 2 to 4 writes in these 3 s
    And within 5 s the row has exactly "p", after one more write

    Examples:
      | fault   |
      | refused |
      | unknown |

  Scenario: The answer to a write is lost
    Guards against a write that is repeated forever.
    Given a running instance
    When the store's writes are lost for 1 s while it quarantines "p" for 60 s
    Then within 5 s the row has exactly "p", after one more write
    And the store gets no write in the next 3 s

  Scenario: A write is given up when the quarantine has ended
    Given a running instance
    When the store's writes are refused for 3 s while it quarantines "p" for 1 s
    Then the store gets no write in the next 3 s

  Scenario: Quarantines that come during a failed write are written with it
    Given a running instance
    When the store's writes are refused for 1 s while it quarantines "p" for 60 s
    And it quarantines "q" for 60 s after 0 relapses
    Then within 5 s the row has exactly "p, q", after one more write

  Scenario Outline: An unreadable row counts as empty and is overwritten
    Given a row with the content <content>
    And a running instance
    Then it reads no part and logs that the row is unreadable once
    When it quarantines "p" for 60 s after 0 relapses
    Then the row has exactly "p"

    Examples:
      | content                                                    |
      | not JSON                                                   |
      | {"part": "p"}                                              |
      | [{"part": 5, "until_unix_ms": 1}]                          |
      | [{"part": "q", "until_unix_ms": -1}]                       |
      | [{"part": "q", "until_unix_ms": 1e400}]                    |
      | [{"part": "q", "until_unix_ms": 9, "relapses": "many"}]    |

  Scenario: A time far in the future is limited
    Guards against a part that is refused forever because one clock was wrong.
    Given a row that quarantines "p" for 900000 s
    When a new instance starts
    Then it reads "p" for 65 s after 0 relapses, with one read and no write

  Scenario: A first quarantine is read for little more than its time
    Guards against a part that is refused for an hour because the clock of the instance that wrote it was ahead.
    Given a row that quarantines "p" for 2400 s
    When a new instance starts
    Then it reads "p" for 65 s after 0 relapses, with one read and no write

  Scenario: An instance whose clock is ahead keeps what others wrote
    Guards against parts that no instance finds in the store because one that sees them as ended removed them.
    Given a row that quarantines "old" for -290 s
    And a running instance
    Then it reads no part
    When it quarantines "p" for 60 s after 0 relapses
    Then the row has exactly "old, p"

  Scenario: Entries that ended long ago are dropped at the next write
    Given a row that quarantines "old" for -301 s
    And a running instance
    When it quarantines "p" for 60 s after 0 relapses
    Then the row has exactly "p"

  Scenario: Ended entries are dropped at the next write
    Given a row that quarantines "old" for -301 s
    And a running instance
    Then it reads no part
    And the store gets no write in the next 1 s
    When it quarantines "p" for 60 s after 0 relapses
    Then the row has exactly "p"

  Scenario: Nothing is written when the row says the same
    Given a row that quarantines "p" for 60 s
    And a running instance
    When it quarantines "p" for 62 s after 0 relapses
    Then the store gets no write in the next 1 s

  Scenario: What a peer decided is left to the peer
    Given a running instance
    When a peer quarantines "p"
    Then the store gets no write in the next 1 s

  Scenario: A relapse is written
    Given a row that quarantines "p" for 10 s
    And a running instance
    When it quarantines "p" for 120 s after 1 relapses
    And a new instance starts
    Then it reads "p" for 120 s after 1 relapses, with one read and no write

  Scenario: The row is bounded
    Guards against a row that the store refuses for its size.
    Given a running instance
    When it quarantines 70 parts, each for longer than the one before
    Then the row has the 64 parts that end last
    And the store gets no write in the next 1 s

  Scenario Outline: A quarantine that the store has lost
    Guards against instances that start after the store was restored, and send a prompt part that crashes engines, and
    against a write by each instance. A first write may learn the version of the row only.
    Given a row that quarantines "q" for 60 s
    And 3 running instances
    When the first one quarantines "p", and the store is restored from a copy that <lacks>
    Then within 5 s the row has exactly "<parts>"
    And the store got at most 2 writes since the restore

    Examples:
      | lacks         | parts |
      | lacks it      | q, p  |
      | has no row    | p     |

  Scenario Outline: A release removes the part from the row
    Given a row that quarantines "q" for 60 s
    And 2 running instances
    When the first one quarantines "p", and <who> releases it <when>
    Then within 5 s the row has exactly "q"
    And neither instance reads "p" again

    Examples:
      | who          | when                                  |
      | the first    | after the write                       |
      | the other    | after the write                       |
      | the first    | while the write is pending            |
      | the other    | while the write is pending            |
      | the first    | when the answer to the write is lost  |
      | the other    | when the answer to the write is lost  |
      | the first    | while the store refuses writes        |
      | the other    | while the store refuses writes        |

  Scenario: A release removes the part that an instance wrote which has ended
    Given a row that quarantines "q" for 60 s
    And 2 running instances
    When the first one quarantines "p" and ends, and the other releases it
    Then within 5 s the row has exactly "q"
    And the store got at most 2 writes

  Scenario: A part that was not quarantined needs no removal
    Guards against a call to the store for each success.
    Given a running instance
    When it releases "p"
    Then the store gets no write in the next 1 s
    And the store got 1 read

  Scenario: A part is quarantined again after its release
    Given a running instance
    When it quarantines "p" for 60 s after 0 relapses
    And it releases "p"
    Then the row has no part
    When it quarantines "p" for 60 s after 0 relapses
    Then the row has exactly "p"

  Scenario: An instance without peers learns of a quarantine from the store
    Guards against an instance that goes on sending the part, and against a read of the store for each attempt.
    Given a running instance
    When it suspects a part every 0.1 s for 5 s, and the row quarantines "p" after 1 s
    Then it read "p" within 2.5 s of the write
    And its reads are at least 2 s apart and at most 4

  Scenario: Any history ends with the parts that are in force
    Guards against a release that a delayed write undoes, a part that a conflict loses, and instances whose clocks differ and
    that overwrite each other.
    Then 400 random histories end with the parts in force, and without writes

  Scenario: The platform's store keeps the row
    Guards against a key or a body that the store does not take.
    Given two instances at the stand-in of the platform's store
    When the store is busy for 1 s and both quarantine a part
    Then a new instance reads both parts from it
