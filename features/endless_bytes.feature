@fleet
Feature: Endpoints that send bytes without end
  Guards against an instance that runs out of memory, or fails the requests of other callers, because a faulty endpoint
  never ends a head or a body. The fleet is three instances, the store and five endpoints as processes.

  Scenario Outline: Bytes without end on streams and plain calls
    Guards against memory that grows with the bytes, and against requests to sound endpoints that fail beside them.
    Given a relay fleet
    When the busiest engine and a plain endpoint send <bytes> to callers for 4 seconds
    Then streams, lookups and charges reached these endpoints
    And each connection on which they sent without end is closed
    And each request that reached none of them is answered in full
    And of those that they left unread, charges fail as ones that may have run and all others are answered in full
    And no answer of these endpoints without an end looks complete
    And no instance has ended or held more than 40 MB above its start

    Examples:
      | bytes          |
      | endless_bytes  |
      | endless_fields |
      | endless_body   |
      | endless_chunks |
      | endless_tail   |

  Scenario: Bytes without end that follow an answer once the next request is sent
    Guards against bytes that are taken for the answer to the request behind them, and against a charge that is sent once
    more, or refused as one that has not run, since its endpoint sent other bytes in place of an answer.
    Given a relay fleet
    When the busiest engine and a plain endpoint send endless_late_tail to callers for 4 seconds
    Then streams, lookups and charges reached these endpoints
    And each connection on which they sent without end is closed
    And they have left charges unread
    And each request that reached none of them is answered in full
    And of those that they left unread, charges fail as ones that may have run and all others are answered in full
    And no answer of these endpoints without an end looks complete
    And no instance has ended or held more than 40 MB above its start

  Scenario Outline: A body without end whose callers read nothing
    Guards against a body that an instance keeps for a caller that does not read it.
    Given a relay fleet
    When 6 callers that do not read call endpoints that send <bytes> for 4 seconds
    Then other callers are served by each instance
    And no instance has ended or held more than 60 MB above its start

    Examples:
      | bytes          |
      | endless_body   |
      | endless_chunks |
