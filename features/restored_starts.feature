Feature: Instances that start while a store is or was restored
  Guards against an instance that takes the restored state of a row for news, since it has no earlier states of it, and
  tells its peers that lost changes were undone. Two copies of one table, in virtual time: that of an instance that
  starts, and that of "the other one", which has run all the time. All of the first one's peers answer as the other one.

  Scenario Outline: An instance that starts after the store was restored
    Guards against a starter that has, and tells others, what the restored store shows in place of what they keep.
    Given a copy of the table "<table>" that is current
    When the store loses a <change>
    And an instance starts <after> seconds later and asks the one with the copy
    Then it has what the other one keeps, and had nothing else before
    And both have given it up at most 2 seconds after <kept> seconds since the restore

    Examples:
      | table    | change  | after | kept |
      | servers/ | row     | 1.5   | 3    |
      | servers/ | content | 1.5   | 30   |
      | op/      | row     | 10    | 30   |
      | op/      | content | 10    | 30   |
      | op/      | removal | 10    | 30   |

  Scenario Outline: An instance that started between a change and the loss of it
    Guards against an instance that never had the earlier state, takes it for news when the store comes back with it, and
    tells all others.
    Given a copy of the table "op/" that is current
    When an instance starts after a <change>, and then the store loses that
    Then it has what the other one keeps at the end, and never had the restored state

    Examples:
      | change  |
      | row     |
      | content |
      | removal |

  Scenario Outline: An instance that no peer has answered when a change is lost
    Guards against a copy that counts as one that knows earlier states as soon as it has read the table.
    Given a copy of the table "op/" that is current
    When an instance that no peer answers starts after a <change>, and then the store loses that
    Then it has what the other one keeps at the end, and never had the restored state

    Examples:
      | change  |
      | row     |
      | content |
      | removal |

  Scenario Outline: An instance that has a peer's copy before the first answer of the store
    Guards against a copy that counts as one from before the restore, although it has no earlier states.
    Given a copy of the table "<table>" that is current
    When an instance starts after the loss of a <change> and has the copy of the other one first
    Then it has what the other one keeps at the end, and never had the restored state

    Examples:
      | table    | change  |
      | op/      | row     |
      | op/      | content |
      | op/      | removal |
      | servers/ | row     |
      | servers/ | content |

  Scenario: An instance that started alone is asked by one that starts
    Guards against a starter that is told by a peer which knows nothing itself.
    Given a copy of the table "op/" that is current
    When the store is restored, and an instance starts whose peers don't answer
    Then it answers no other one that starts after 2 seconds

  Scenario: An instance that was told by a peer gets no further answer of the store
    Guards against a process that does nothing but look whether something is due.
    Given a copy of the table "op/" that is current
    When the store loses a content
    And an instance starts 2 seconds later and asks the one with the copy
    And the store answers nothing more for 4 seconds
    Then nothing was due without being done

  Scenario: An instance that starts just before its peer gives up what it keeps
    Guards against a starter that begins the whole time anew, as the peer's was over when it had read the table.
    Given a copy of the table "servers/" that is read in pages of 2 rows
    When the store loses a row
    And an instance starts 2.9 seconds later and reads the table 0.3 seconds after it has asked
    Then both have given it up at most 2 seconds after 3 seconds since the restore

  Scenario Outline: An instance that starts before its peer has heard of the restore
    Guards against a starter that takes a peer which keeps nothing yet for one that knows of no loss.
    Given a copy of the table "op/" that is current
    When an instance starts after the loss of a <change>, before the one with the copy hears of it
    Then it has what the other one keeps, and had nothing else before

    Examples:
      | change  |
      | row     |
      | content |
      | removal |

  Scenario: A change in the new era that an instance reads as it starts
    Guards against a lost content that a peer keeps, and that replaces one which was written since the restore.
    Given a copy of the table "op/" that is current
    When another content replaces a lost one, and only an instance that starts has read it
    Then it has the other content and keeps nothing

  Scenario Outline: An instance that starts gets no answer from a peer
    Guards against an instance that is never ready, as it waits for peers that are gone, and against one that waits though
    nothing can be lost.
    Given a copy of the table "op/" that is current
    When <what>, and an instance starts whose peers don't answer
    Then it has the rows of the store after <after> seconds

    Examples:
      | what                  | after |
      | the store is restored | 1.5   |
      | nothing happens       | 0     |
