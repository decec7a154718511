Feature: Endpoint registry of an instance
  Guards against work for endpoints that are gone, cold, out of service or failing, and against load counts that
  differ between instances.

  Scenario: Load counts are right although update messages are lost or repeated
    Guards against engines that seem busy for ever, or idle although they are full.
    Then in 500 random sequences of work updates with lost messages the counts are right after a report

  Scenario: Work without an end message expires
    Guards against an engine that looks full because an instance died without an end message.
    Given an instance that sent an update on work for 5 seconds
    Then 6 seconds later nothing of it is counted

  Scenario: The work of an instance before its restart is dropped
    Guards against work of a dead process that is counted beside that of the new one.
    Given an instance that sent an update on work for 5 seconds
    When it is dropped
    Then nothing of it is counted

  Scenario: Endpoints that leave, are out of service or were tried get no request
    Guards against work at an endpoint that is about to stop, or in a data centre that operators took out of service.
    Given 6 known endpoints
    When one is leaving, one is out of service and one was tried
    Then 3 are left to choose from

  Scenario Outline: A prompt is too long only for all known engines of its service together
    Guards against a refusal that callers don't repeat, for a prompt that fits again as soon as engines are back. An
    engine holds 315,000 tokens.
    Given 6 known endpoints
    When one is leaving, one is out of service and one was tried
    Then a prompt of <tokens> tokens is refused as <kind>

    Examples:
      | tokens  | kind            |
      | 1200000 | overloaded      |
      | 1800000 | overloaded      |
      | 2000000 | prompt_too_long |

  Scenario Outline: What an endpoint said holds while its entry is away
    Guards against requests to an endpoint that has said that it takes none, once its entry lapsed and came back.
    Given 6 known endpoints
    When the first says "<word>" <moment> its entry is removed, and is listed again <start>
    Then <count> are left to choose from

    Examples:
      | word                         | moment | start                | count |
      | that it leaves               | before | with the same start  | 5     |
      | that it leaves               | after  | with the same start  | 5     |
      | that it leaves               | before | with a later start   | 6     |
      | that it takes none for 60 s  | before | with the same start  | 5     |
      | that it takes none for 60 s  | before | with a later start   | 6     |
      | that it takes 1 a second     | before | with the same start  | 5     |
      | that it takes 1 a second     | after  | with the same start  | 5     |
      | that it takes 1 a second     | before | with a later start   | 6     |

  Scenario: Endpoints that come and go are not all remembered
    Guards against memory that grows with each start of an endpoint.
    Given 6 known endpoints
    When 20000 endpoints that name rate limits come and go
    Then at most 2100 of them are remembered

  Scenario: An entry of an earlier start is ignored
    Guards against a late entry of an endpoint's earlier start that replaces the newer one.
    Given 6 known endpoints
    When the first restarts and its old entry arrives again
    Then the new entry is kept

  Scenario: An endpoint whose address belongs to a later one is excluded
    Guards against requests that reach another endpoint there, until the entry of the crashed one expires.
    Given 6 known endpoints
    When a new endpoint is listed at the address of the first
    Then the first is not chosen and the new one is

  Scenario Outline: An entry of a service that no configuration names takes no address over
    Guards against a sound endpoint that is hidden by one odd entry of another writer.
    Given 6 known endpoints
    And a configuration with the service "<service>" only
    When an entry of the service "strange" is listed at the address of the first, with a later start
    Then <count> are left to choose from

    Examples:
      | service | count |
      | letters | 6     |
      | strange | 5     |

  Scenario: A replaced endpoint is ejected until it restarts
    Guards against requests that all reach another endpoint at its address, and against an ejection that outlasts its
    restart.
    Given 6 known endpoints
    When another endpoint answers at the address of the first
    Then 20 seconds later 5 are left to choose from
    And 6 are left once it has restarted

  Scenario: An endpoint that does not listen gets a longer first ejection
    Guards against one failed request each half second at a crashed endpoint, until its entry expires after 3.6 seconds.
    Given 6 known endpoints
    When nothing listens at the first, 2 times in a row
    Then it is ejected for 1.5 and 3 seconds

  Scenario: The ejection time doubles with each failure
    Guards against requests that all fail at the same dead endpoint.
    Given 6 known endpoints
    When the first fails 3 times in a row
    Then it is ejected for 0.5, 1 and 2 seconds

  Scenario: A data centre with several unreachable endpoints is excluded entirely
    All endpoints of a data centre crash at once, or the network path to it is cut. Guards against a failed request for
    each of its dead endpoints.
    Given 21 known endpoints in 3 data centres
    When nothing listens at 3 of one data centre
    Then 14 are left to choose from
    And 4 seconds later 21 are left to choose from

  Scenario: A few unreachable endpoints do not exclude their data centre
    Guards against the exclusion of a third of a service because of separate crashes.
    Given 21 known endpoints in 3 data centres
    When nothing listens at 2 of one data centre
    Then 19 are left to choose from

  Scenario: Ejected endpoints are used when most endpoints failed
    Guards against refusing all requests because of isolated failures everywhere.
    Given 6 known endpoints
    When 5 of them fail
    Then 6 are left to choose from

  Scenario Outline: A cold endpoint never gets more requests than it sustains
    Guards against too many requests in total at a cold endpoint, from instances that do not know of each other's.
    Then <instances> instances that send as much as they may send a cold endpoint at most 44 requests in any second

    Examples:
      | instances |
      | 1         |
      | 9         |
      | 76        |
      | 350       |

  Scenario: An instance whose share is used up draws on the common retry pool
    Engines break off long answers, and each of many instances has a share of two retries. Guards against refusing a
    review of 200,000 tokens while the retry budget of the fleet is mostly unused.
    Given 76 instances that may make 228 retries in 10 seconds, of which one has used its share
    Then it may retry once more while the others report to it, and not when they do not
    And not when the others have made 60 retries

  Scenario Outline: Retries of instances that report to each other stay within the budget
    Guards against a common pool that exceeds the budget when it is used beside all shares.
    Then <instances> instances that report to each other and retry everything stay within 0.2 of the requests plus 106 in any 10 seconds

    Examples:
      | instances |
      | 2         |
      | 9         |
      | 76        |

  Scenario Outline: Retries of instances without contact stay within the budget
    Guards against a retry storm, whatever the instances know of each other.
    Then <instances> instances that retry everything stay within 0.2 of the requests plus 106 in any 10 seconds

    Examples:
      | instances |
      | 1         |
      | 9         |
      | 76        |
