Feature: What instances believe of endpoints
  Guards against work for endpoints that are gone, cold, out or sick, and against counts that drift apart.

  Scenario: Work of all instances is counted, whatever is lost or repeated on the way
    Guards against engines that seem busy for ever, or idle while they are full.
    Then in 500 random courses of work with lost messages the counts are right after a report

  Scenario: Work that nobody ended is dropped
    Guards against an engine that looks full because an instance died silently.
    Given an instance that told of work for 5 seconds
    Then 6 seconds later nothing of it is counted

  Scenario: A restarted instance's earlier work is gone
    Guards against work of a dead process that is counted beside that of the new one.
    Given an instance that told of work for 5 seconds
    When it is dropped
    Then nothing of it is counted

  Scenario: Endpoints that leave, are out or were tried get nothing
    Guards against work at an endpoint that is about to stop, or in a data centre that operators took out.
    Given 6 known endpoints
    When one is leaving, one is out of service and one was tried
    Then 3 are left to choose from

  Scenario: An entry of an earlier start changes nothing
    Guards against an old entry that overtakes the new one of the same endpoint.
    Given 6 known endpoints
    When the first starts anew and its old entry comes again
    Then the new entry holds

  Scenario: An endpoint whose address a later one has is gone
    Guards against requests that all find another endpoint there, until the entry of the one that crashed lapses.
    Given 6 known endpoints
    When a new endpoint is listed at the address of the first
    Then the first is not chosen and the new one is

  Scenario: An endpoint that was replaced is left alone until it starts anew
    Guards against every request finding another endpoint at its address, and against losing it for good.
    Given 6 known endpoints
    When another endpoint answers at the address of the first
    Then 20 seconds later 5 are left to choose from
    And 6 are once it has started anew

  Scenario: A process that does not listen is left alone for longer at once
    Guards against a request each half second that finds a crashed endpoint, until its entry lapses after 3.6 seconds.
    Given 6 known endpoints
    When nothing listens at the first, 2 times in a row
    Then it is left alone for 1.5 and 3 seconds

  Scenario: A failed endpoint is left alone, longer each time
    Guards against every request finding the same dead endpoint.
    Given 6 known endpoints
    When the first fails 3 times in a row
    Then it is left alone for 0.5, 1 and 2 seconds

  Scenario: A data centre whose endpoints cannot be reached is left alone as a whole
    Load: all endpoints of a data centre crash at once, or the way there is cut. Guards against a request each that
    finds the next dead one.
    Given 21 known endpoints in 3 data centres
    When nothing listens at 3 of one data centre
    Then 14 are left to choose from
    And 4 seconds later 21 are left to choose from

  Scenario: Single endpoints that cannot be reached say nothing about their neighbours
    Guards against leaving a third of a service alone because of single crashes.
    Given 21 known endpoints in 3 data centres
    When nothing listens at 2 of one data centre
    Then 19 are left to choose from

  Scenario: When most endpoints failed all are used
    Guards against refusing everything because of isolated faults everywhere.
    Given 6 known endpoints
    When 5 of them fail
    Then 6 are left to choose from

  Scenario Outline: Cold endpoints never get more than they bear
    Guards against the sum of all instances' requests, which know nothing of each other, at a cold endpoint.
    Then <instances> instances that press send a cold endpoint at most 44 requests in any second

    Examples:
      | instances |
      | 1         |
      | 9         |
      | 76        |
      | 350       |

  Scenario: An instance whose share is used up draws on what others leave
    Load: engines that break off long answers, beside many instances with a share of two repeats each. Guards against
    refusing a review of 200,000 tokens while the budget of the whole fleet is hardly touched.
    Given 76 instances that may make 228 repeats in 10 seconds, of which one has used its share
    Then it may repeat once more while it hears the others, and not when it does not
    And not when the others have made 60 repeats

  Scenario Outline: Repeats of instances that hear each other stay within the budget
    Guards against a common part that is used beside all shares.
    Then <instances> instances that tell each other and repeat everything stay within 0.2 of the requests plus 106 in any 10 seconds

    Examples:
      | instances |
      | 2         |
      | 9         |
      | 76        |

  Scenario Outline: Repeats of all instances stay within the budget
    Guards against a storm of repeats, whatever the instances know of each other.
    Then <instances> instances that repeat everything stay within 0.2 of the requests plus 106 in any 10 seconds

    Examples:
      | instances |
      | 1         |
      | 9         |
      | 76        |
