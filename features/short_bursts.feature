Feature: Bursts of shorts while part of the engines is cold, leaving or gone
  Guards against requests that are late although engines are free, because their instances send them to full engines
  that they know nothing of, or leave warming engines empty.

  Scenario Outline: Shorts find the free engines when those of one data centre are gone
    Load: two and a half times the usual shorts while the engines of one of three data centres are gone; the others
    have slots for all. Guards against instances without engines of their own that choose at random among full ones.
    Given a fleet of 31 instances and 60 engines that decides on <waits>
    And 100 shorts a second for 3 seconds
    When the engines of one data centre are gone
    And 165 shorts come a second for 2 seconds
    Then <found> 1 in 20 of them come to a full engine

    Examples:
      | waits       | found        |
      | short waits | at most      |
      | nothing     | at least     |

  Scenario: Warming engines take what they bear
    Load: as before, and the engines come back cold. Guards against engines that stay empty until they are warm, and
    against more requests than a cold engine survives, 44 a second from all instances together.
    Given a fleet of 31 instances and 60 engines that decides on short waits
    When the engines of one data centre are gone
    And 165 shorts come a second for 2 seconds
    And 20 engines come back cold there
    And 165 shorts come a second for 3 seconds
    Then at most 1 in 20 of them come to a full engine
    And warming engines get 1 in 10 of them or more
    And no cold engine gets more than 44 in any second

  Scenario: The bound at a cold engine holds without work updates
    Failure: the links that carry work updates are cut during a burst on cold engines only. Guards against instances
    that each send a cold engine what all together may send.
    Given a fleet of 31 instances and 60 engines that decides on short waits
    When work updates are cut
    And the engines of all data centres are gone
    And 20 engines come back cold there
    And 400 shorts come a second for 3 seconds
    Then no cold engine gets more than 44 in any second

  Scenario: Shorts of a burst avoid engines that prefill a long prompt
    Load: a burst of shorts beside longs that two thirds of the engines prefill for seconds. Guards against a short
    that is placed on one of them because it has many free slots.
    Given a fleet of 31 instances and 60 engines that decides on short waits
    When the engines of one data centre are gone
    And 30 of the engines prefill a long prompt for 3 seconds
    And 60 shorts come a second for 1 second
    Then none of them come to an engine that prefills a long

  Scenario: The decision is the same at all instances and leaves out dead ones
    Failure: an instance that shares its engines dies. Guards against instances that disagree on who shares, and
    against updates to dead instances.
    Given a fleet of 31 instances and 60 engines that decides on short waits
    When the engines of one data centre are gone
    And one instance of another data centre dies
    Then all instances agree that its cell shares the engines of both others
    And no instance sends updates to the dead one

  Scenario: An instance that begins to share asks what was sent before
    Failure: the engines of the own data centre crash. Guards against engines of other cells that seem idle until their
    requests end, and against sharing that goes on once the setting is off.
    Given the endpoint registry of an instance of 31, with 60 engines in 3 data centres
    When the engines of its data centre fail to be reached
    Then it asks the 20 instances of the other cells for their work once
    And updates on shorts go to all cells
    When short waits are switched off
    Then updates on shorts go to one cell

  Scenario: Cells that begin to share hear the end of what was sent before
    Failure: a cell learns of running requests from a full report. Guards against engines that look full to it until the
    time limit of requests that have ended.
    Given a request that an instance of 31 has sent to one of 60 engines in 3 data centres
    When the cell of its engine begins to share and the request ends
    Then 2 cells are told of the end, and 1 was told of the request

  Scenario: A crashed engine that seems usable for a moment changes nothing
    Failure: ejections of crashed engines end before their entries lapse. Guards against a division that moves back and
    forth, each time with a report from every instance.
    Given a cell with 10 instances and 1 usable engine, and two with 20
    Then it is short
    When it has 20 usable engines for 3 seconds
    Then it is short
    When it has 20 usable engines for 5 seconds
    Then no cell is short

  Scenario: A cell that lacks a few engines keeps to itself
    Load: a release takes a quarter of a cell's engines at a time. Guards against messages to more cells than needed.
    Given a cell with 10 instances and 15 usable engines, and two with 20
    Then no cell is short

  Scenario: A fleet that is short everywhere is not divided anew
    Failure: all engines are cold after a loss of power. Guards against sharing that helps nobody.
    Given a cell with 10 instances and 0 usable engines, and two with 0
    Then no cell is short

  Scenario: Without the setting, shorts are placed as before
    Guards against a change for deployments that do not ask for it.
    Given a fleet of 31 instances and 60 engines that decides on nothing
    When the engines of one data centre are gone
    And 20 engines come back cold there
    And 165 shorts come a second for 2 seconds
    Then warming engines get none of them
    And each instance uses its own cell only

  Scenario: Refused callers don't return in one wave
    Load: a burst beyond all slots, of which hundreds are refused within a second. Guards against callers that all
    return at the same moment and are refused again.
    Given an instance that answers 60 requests a second
    When it refuses 120 requests with 9 seconds left within a second
    Then at most 70 of them return in any second
    And nobody is asked to wait for longer than 3 seconds
    And each waits for 0.2 seconds or more

  Scenario: Callers with little time are asked to return while they can
    Guards against a time to return at which the caller has given up.
    Given an instance that answers 2 requests a second
    When it refuses 40 requests with 1.5 seconds left within a second
    Then nobody is asked to wait for longer than 0.5 seconds

  Scenario: The pause that an endpoint asked for is passed on
    Guards against a caller that returns before the pause ends, and against others that wait for it.
    Given an instance that answers 60 requests a second
    When it refuses a request for a pause of 30 seconds
    Then it is asked to wait for 30 seconds
    When it refuses 1 requests with 9 seconds left within a second
    Then nobody is asked to wait for longer than 0.3 seconds
