Feature: Configuration versions
  An accepted version is in force everywhere and never reverts.

  Scenario: Fuzzed histories of publications
    Guards against two winners of one number, an accepted version that is not
    durable, an untrue refusal, a reversion, a late confirmation and an instance
    that stays behind.
    Answers are lost or late, instances pause and restart, operators race.
    When 2000 histories of "publication" are run with a fixed seed
    Then no history broke a rule

  Scenario: The loser of a race learns to whom it lost
    Guards against an operator who cannot tell whose version is in force.
    Given version 1 by "ann" was accepted
    When "bob" publishes over version 0
    Then bob is told "Version 1 by ann was accepted at 2027-01-15T08:00:00+00:00."

  Scenario: A table that is down refuses at once
    Guards against an operator who waits for an outcome that cannot come.
    Given a table that is down
    When "bob" publishes over version 0
    Then bob is told "store_unavailable"

  Scenario: A restarted instance meets a peer that is behind
    Guards against a restart that brings an older version back.
    Given a starting instance that read version 2 in the table
    When a peer sends version 1
    And a peer sends version 2
    Then version 2 is put in force

  Scenario: A starting instance learns from its peers
    Guards against the oldest peer deciding while the table is down.
    Given a starting instance without a table
    When a peer sends version 1
    And a peer sends version 2
    Then version 2 is put in force
