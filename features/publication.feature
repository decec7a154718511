Feature: Configuration versions
  An accepted version comes into force on every instance and never reverts.

  Scenario: Fuzzed histories of publications
    Guards against one number being accepted twice, an accepted version that is
    not durable, a refusal of a version that was accepted, a reversion, a
    confirmation of an outdated version and an instance that stays behind.
    Answers are lost or late, instances pause and restart, operators race.
    When 2000 histories of "publication" are run with a fixed seed
    Then no history broke a rule

  Scenario: A publication that loses a race is refused with the winner
    Guards against an operator who cannot tell whose version is in force after
    two operators published over the same version.
    Given version 1 by "ann" was accepted
    When "bob" publishes over version 0
    Then the publication is refused with "Version 1 by ann was accepted at 2027-01-15T08:00:00+00:00."

  Scenario: A publication is refused at once while the table is down
    Guards against an operator who waits until the timeout although the version
    row cannot be read.
    Given a table that is down
    When "bob" publishes over version 0
    Then the publication is refused with "store_unavailable"

  Scenario: A restarted instance ignores an older version from a peer
    Guards against a restart that reverts to an older version, when a peer that
    is behind answers first.
    Given a starting instance that read version 2 in the table
    When a peer sends version 1
    And a peer sends version 2
    Then version 2 is put in force

  Scenario: A starting instance adopts the highest version of its peers
    Guards against adopting the version of the first peer that answers while
    the table is down, since that peer may be behind.
    Given a starting instance without a table
    When a peer sends version 1
    And a peer sends version 2
    Then version 2 is put in force
