Feature: HTTP client of the outside systems
  Guards against a peer that holds a request for ever, a request sent twice, and
  a failure that hides whether any byte left.

  Scenario: A peer that accepts and says nothing
    Guards against a silent connection that keeps a request until its deadline.
    Given a peer that reads and never answers
    When a "POST" is sent to the peer with silence_s = 0.3
    Then the exchange fails as "endpoint_lost" with bytes sent
    And the exchange took at least 0.3 s

  Scenario: A peer that never takes the connection
    Guards against a connect that ignores its limit, or keeps a core busy meanwhile.
    Given a peer whose backlog is full
    When a "GET" is sent to the peer with connect_s = 0.5
    Then the exchange fails as "endpoint_unavailable" with nothing sent
    And the exchange took at least 0.5 s
    And the process used less than half of that time on a core

  Scenario: Nobody listens
    Guards against a refused connection that is reported as a request that may have run.
    Given an address where nobody listens
    When a "POST" is sent to the peer
    Then the exchange fails as "endpoint_unavailable" with nothing sent

  Scenario: A peer that resets the connection in the answer
    Guards against a cut answer that is reported as complete.
    Given a peer that sends half an answer and resets
    When a "GET" is sent to the peer
    Then the exchange fails as "endpoint_lost" with bytes sent
    And the half of the answer was reported

  Scenario Outline: A peer that ends or breaks the answer
    Guards against broken framing that is taken for the end of an answer.
    Given a peer with the answer "<answer>" before it closes
    When a "GET" is sent to the peer
    Then the exchange fails as "<kind>" with bytes sent

    Examples:
      | answer                                                            | kind            |
      | HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort                 | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort  | endpoint_failed |
      | SSH-2.0-server\r\n\r\n                                            | endpoint_failed |
      | HTTP/1.1 101 Switching\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n | endpoint_failed |

  Scenario Outline: An answer that ends in another way than by its length
    Guards against an end that is taken for a fault, and a body that is expected where none comes.
    Given a peer with the answer "<answer>" before it closes
    When a "<method>" is sent to the peer
    Then the peer's answer is "<content>"

    Examples:
      | method | answer                                                                           | content |
      | GET    | HTTP/1.1 200 OK\r\n\r\nwhole                                                     | whole   |
      | GET    | HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nwhole                          | whole   |
      | GET    | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\n\r\n | whole   |
      | GET    | HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hint\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole | whole   |
      | HEAD   | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n                                    |         |
      | GET    | HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n                                    |         |
      | GET    | HTTP/1.1 304 No\r\nContent-Length: 5\r\n\r\n                                    |         |
      | GET    | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nmixed     | whole   |

  Scenario Outline: Connections that may not be used again
    Guards against bytes of one answer that are read as the next one's.
    Given a peer with the answer "<answer>" to each request
    When a "GET" is sent to the peer
    And a "GET" is sent to the peer
    Then the peer's answer is "whole"
    And the requests came on <connections> connections

    Examples:
      | answer                                                                         | connections |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                              | 1           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n     | 1           |
      | HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 5\r\n\r\nwhole         | 2           |
      | HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole    | 2           |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole\r\n                          | 2           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n\n   | 2           |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nmixed   | 2           |

  Scenario: A peer that sends one byte at a time
    Guards against a slow peer that is taken for a silent one, or whose bytes are held back.
    Given a peer that answers one byte each 0.05 s
    When a "GET" is sent to the peer with silence_s = 0.5
    Then the whole answer arrives in several reads

  Scenario: A peer that drips for ever
    Guards against bytes that keep a request alive past its total limit.
    Given a peer that answers one byte each 0.05 s for ever
    When a "GET" is sent to the peer with total_s = 0.6
    Then the exchange fails as "deadline_exceeded" with bytes sent

  Scenario: A large body to a peer that reads slowly
    Guards against a body of which only what the socket buffer takes is sent.
    Given a peer that reads slowly and echoes the length of the body
    When a "POST" is sent to the peer with body_bytes = 6000000
    Then the peer's answer is "6000000"

  Scenario: Keep-alive and the same connection
    Guards against work that reaches another process than the status before it.
    Given a peer that keeps connections
    When a "GET" is sent to the peer with follow_up_s = 600
    And a "GET" is sent to the peer
    And a follow-up "POST" is sent to the peer on the first connection
    Then the follow-up used the first connection and the unrelated one did not

  Scenario: The same connection is gone
    Guards against a follow-up that quietly goes to a restarted process.
    Given a peer that closes after each answer without saying so
    When a "GET" is sent to the peer with follow_up_s = 600
    And a follow-up "POST" is sent to the peer on the first connection
    Then the exchange fails as "endpoint_unavailable" with nothing sent

  Scenario Outline: A kept connection that closes under the next request
    Guards against a second run of a request that may not be repeated.
    Given a peer that closes a kept connection when the next request arrives
    When a "GET" is sent to the peer
    And a "<method>" is sent to the peer
    Then the peer saw <times> requests in all and the last one <outcome>

    Examples:
      | method | times | outcome                       |
      | POST   | 2     | fails as "endpoint_lost" sent |
      | GET    | 3     | is answered                   |

  Scenario: More idle connections than are kept
    Guards against sockets that pile up without limit.
    Given a peer with answers once 12 requests have come
    When 12 "GET" are sent to the peer at once by a client that keeps 3 for 600 s
    Then 9 connections of the peer end

  Scenario: Idle connections
    Guards against sockets that stay open for ever.
    Given a peer with answers once 3 requests have come
    When 3 "GET" are sent to the peer at once by a client that keeps 3 for 0.2 s
    Then 3 connections of the peer end

  Scenario: Open connections that go silent together
    Guards against retries that wait on one silent kept connection after the other.
    Given a peer whose first 3 connections go silent after an answer each
    When 3 "GET" are sent to the peer at once by a client that keeps 3 for 600 s
    And a "GET" is sent to the peer with silence_s = 0.3
    Then the exchange fails as "endpoint_lost" with bytes sent
    When a "GET" is sent to the peer with silence_s = 0.3
    Then the peer's answer is "kept"

  Scenario: A cancelled exchange
    Guards against an answer that is reported to an owner that has given up.
    Given a peer that answers one byte each 0.05 s for ever
    When a "GET" is sent to the peer and cancelled after its head
    Then the peer sees the connection end and nothing more is reported
