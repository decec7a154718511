Feature: HTTP client for outside systems
  Guards against requests that hang on a faulty peer, requests that are sent
  twice, and failures that do not tell whether any byte was sent.

  Scenario: A peer that accepts a request and never answers
    Guards against a silent connection that blocks a request until its deadline.
    Given a peer that reads and never answers
    When a "POST" is sent to the peer with silence_timeout_s = 0.3
    Then the exchange fails as "endpoint_lost" with bytes sent
    And the exchange took at least 0.3 s

  Scenario: A peer that never accepts the connection
    Guards against a connect that ignores its timeout, or uses a CPU core while it waits.
    Given a peer whose backlog is full
    When a "GET" is sent to the peer with connect_timeout_s = 0.5
    Then the exchange fails as "endpoint_unavailable" with nothing sent
    And the exchange took at least 0.5 s
    And the process used less than half of that time on the CPU

  Scenario: A refused connection
    Guards against a request that was never sent but is reported as one that may have run.
    Given an address where nobody listens
    When a "POST" is sent to the peer
    Then the exchange fails as "endpoint_unavailable" with nothing sent

  Scenario: An address with a port out of range
    Guards against an exchange that never ends, since nothing reports that its connection could not be opened.
    Given an address with the port 65536
    When a "GET" is sent to the peer
    Then the exchange fails as "endpoint_unavailable" with nothing sent

  Scenario: A peer that resets the connection in the middle of an answer
    Guards against a truncated answer that is reported as complete.
    Given a peer that sends half an answer and resets
    When a "GET" is sent to the peer
    Then the exchange fails as "endpoint_lost" with bytes sent
    And the first half of the answer was reported

  Scenario Outline: A peer that sends a truncated or malformed answer
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

  Scenario Outline: Answers whose end is not given by Content-Length alone
    Guards against a valid end that is taken for a fault, and against waiting for a body that never comes.
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

  Scenario Outline: Connections that must not be reused
    Guards against bytes after one answer that are parsed as the next one.
    Given a peer with the answer "<answer>" to each request
    When a "GET" is sent to the peer
    And a "GET" is sent to the peer
    Then the peer's answer is "whole"
    And the requests arrived on <connections> connections

    Examples:
      | answer                                                                         | connections |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole                              | 1           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n     | 1           |
      | HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 5\r\n\r\nwhole         | 2           |
      | HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole    | 2           |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole\r\n                          | 2           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n\n   | 2           |
      | HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nmixed   | 2           |

  Scenario: Other bytes that arrive on an idle connection
    Guards against a connection that is kept though its peer has sent more than the answer.
    Given a peer that sends other bytes once its first answer has arrived
    When a "GET" is sent to the peer by a client that keeps connections for 600 s
    And 1 connections to the peer are closed
    And a "GET" is sent to the peer
    Then the peer's answer is "kept"
    And the requests arrived on 2 connections

  Scenario: Other bytes that arrive on an idle connection while the process stands still
    Guards against a request on a connection on which other bytes wait in place of its answer.
    Given a peer that sends other bytes once the client stands still after its first answer
    When a "GET" is sent to the peer
    And a "GET" is sent to the peer by a client that stands still until other bytes have arrived
    Then the peer's answer is "kept"
    And the requests arrived on 2 connections

  Scenario: Other bytes that arrive once the next request has been sent
    Guards against a request that may have run and is sent once more, since other bytes came in place of its answer.
    Given a peer that sends other bytes on a kept connection when the next request arrives
    When a "GET" is sent to the peer
    And a "GET" is sent to the peer that may be repeated
    Then the exchange fails as "endpoint_failed" with bytes sent
    And the requests arrived on 1 connections

  Scenario: A field with bytes outside of ASCII
    Guards against a request that is never sent and gets no answer until its time limit.
    Given a peer with the answer "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole" before it closes
    When a "GET" with the field "Åse" is sent to the peer
    Then the peer's answer is "whole"
    And the peer got the field "Åse" in one byte each

  Scenario: A peer announces an endless idle time
    Guards against an exchange that ends without a report because of a number that is no time.
    Given a peer with the answer "HTTP/1.1 200 OK\r\nKeep-Alive: timeout={400 digits}\r\nContent-Length: 5\r\n\r\nwhole" before it closes
    When a "GET" is sent to the peer
    Then the peer's answer is "whole"

  Scenario: A peer that sends one byte at a time
    Guards against a slow peer that is taken for a silent one, or whose bytes are reported late.
    Given a peer that answers one byte every 0.05 s
    When a "GET" is sent to the peer with silence_timeout_s = 0.5
    Then the complete answer arrives in several reads

  Scenario: A peer that sends single bytes without end
    Guards against a slow answer that keeps an exchange running past its total timeout.
    Given a peer that answers one byte every 0.05 s without end
    When a "GET" is sent to the peer with total_timeout_s = 0.6
    Then the exchange fails as "deadline_exceeded" with bytes sent

  Scenario: A large body to a peer that reads slowly
    Guards against sending only the part of a body that fits into the socket buffer.
    Given a peer that reads slowly and echoes the length of the body
    When a "POST" is sent to the peer with body_bytes = 6000000
    Then the peer's answer is "6000000"

  Scenario Outline: A peer pauses before it reads a large body
    Guards against giving up a sound peer that reads nothing for a second or so: its kernel acknowledges all that fits
    into its window, and the request may already be running.
    Given a peer that pauses 1.5 s before it reads and echoes the length of the body
    When a "POST" of <size> bytes is sent to the peer by a client that waits 1 s for acknowledgements
    Then the peer's answer is "<size>"

    Examples:
      | size    |
      | 300000  |
      | 6000000 |

  Scenario Outline: A peer answers for seconds before it reads a large body
    Guards against an answer that is cut off since the peer's kernel acknowledges nothing of the body meanwhile: in
    review/11, 12 to 16 of 40 events arrived.
    Given a peer that answers for 4 s before it reads and ends with the length of the body
    When a "POST" of <size> bytes is sent to the peer by a client that waits 1 s for acknowledgements
    Then the peer's answer ends with "<size>"

    Examples:
      | size    |
      | 300000  |
      | 3500000 |
      | 6000000 |

  Scenario: A peer ends its answer before it reads a large body
    Guards against a request that waits behind the body of the one before it.
    Given a peer that answers its first request 2 s before it reads the body
    When a "POST" of 300000 bytes is sent to the peer by a client that waits 1 s for acknowledgements
    And another request is sent to the peer with a total timeout of 1 s
    Then the peer's answer is "kept"
    And the peer gets all 300000 bytes of the body

  Scenario: A small body to a peer that pauses before it reads
    Guards against a limit on the acknowledgement of bytes that ends the wait for a sound peer.
    Given a peer that pauses 1.5 s before it reads and echoes the length of the body
    When a "POST" of 20000 bytes is sent to the peer by a client that waits 1 s for acknowledgements
    Then the peer's answer is "20000"

  Scenario: A follow-up on the connection of an earlier exchange
    Guards against work that is sent to another process than the status request before it.
    Given a peer that keeps connections
    When a "GET" is sent to the peer with follow_up_s = 600
    And a "GET" is sent to the peer
    And a follow-up "POST" is sent to the peer on the first connection
    Then the follow-up used the first connection and the unrelated one did not

  Scenario: A follow-up whose connection is closed
    Guards against a follow-up that silently goes to a restarted process.
    Given a peer that closes after each answer without saying so
    When a "GET" is sent to the peer with follow_up_s = 600
    And a follow-up "POST" is sent to the peer on the first connection
    Then the exchange fails as "endpoint_unavailable" with nothing sent

  Scenario Outline: A kept connection that closes when the next request arrives
    Guards against a retry of a request that must not run twice, whatever its method.
    Given a peer that closes a kept connection when the next request arrives
    When a "GET" is sent to the peer
    And a "<method>" is sent to the peer that <kind> repeated
    Then the peer received <times> requests in total and the last <outcome>

    Examples:
      | method | kind       | times | outcome                       |
      | POST   | mustn't be | 2     | fails as "endpoint_lost" sent |
      | GET    | mustn't be | 2     | fails as "endpoint_lost" sent |
      | HEAD   | mustn't be | 2     | fails as "endpoint_lost" sent |
      | GET    | may be     | 3     | is answered                   |

  Scenario Outline: A peer writes an earlier refusal once more on a kept connection
    Guards against a caller that is told "not run" of a request that ran, or whose request runs at a second endpoint, since
    a refusal of the request before it was taken for its answer.
    Given an earlier refusal <echo>, which its peer writes once more before the next answer
    When the requests "first" and "second" are sent to this peer one after the other
    Then the status <status> is reported for the first and the second <outcome>

    Examples:
      | echo          | status | outcome                    |
      | with its id   | 503    | gets the status 200        |
      | without an id | 503    | fails as "endpoint_failed" |

  Scenario: More idle connections than are kept
    Guards against a number of open sockets that grows without limit.
    Given a peer with answers once 12 requests have arrived
    When 12 "GET" are sent to the peer at once by a client that keeps 3 for 600 s
    Then 9 connections to the peer are closed

  Scenario: Connections that are idle for too long
    Guards against unused sockets that are never closed.
    Given a peer with answers once 3 requests have arrived
    When 3 "GET" are sent to the peer at once by a client that keeps 3 for 0.2 s
    Then 3 connections to the peer are closed

  Scenario: Idle connections that all go silent at the same time
    Guards against retries that time out on one silent kept connection after another.
    Given a peer whose first 3 connections go silent after one answer each
    When 3 "GET" are sent to the peer at once by a client that keeps 3 for 600 s
    And a "GET" is sent to the peer with silence_timeout_s = 0.3
    Then the exchange fails as "endpoint_lost" with bytes sent
    When a "GET" is sent to the peer with silence_timeout_s = 0.3
    Then the peer's answer is "kept"

  Scenario: An answer that arrives while the process stands still
    Guards against a sound peer that is taken for silent because this process had no processor for a while.
    Given a peer that answers while the client stands still
    When a "GET" is sent to the peer by a client that then stands still for longer than its silence timeout of 0.3 s
    Then the peer's answer is "kept"

  Scenario: A body that is read while the process stands still
    Guards against a request that may have run and fails because this process noticed late that its peer reads it.
    Given a peer that reads a part of the body while the client stands still
    When a "POST" with a large body is sent to the peer by a client that then stands still for longer than its silence timeout of 0.6 s
    Then the peer's answer is "kept"

  Scenario: A body that is refused while the process stands still
    Guards against a refusal that is lost with the rest of the body.
    Given a peer that refuses the body while the client stands still
    When a "POST" with a large body is sent to the peer by a client that then stands still for longer than its silence timeout of 0.6 s
    Then the peer's answer is "kept"

  Scenario: A peer that reads nothing of a body
    Guards against a silent peer that seems to go on since the sender's own buffer takes more of the body.
    Given a peer that reads nothing
    When a "POST" with a large body is sent to the peer with a silence timeout of 1 s
    Then the exchange fails as "endpoint_lost" with bytes sent
    And the exchange took less than 1.5 s

  Scenario: A connection that opens while the process stands still
    Guards against a sound endpoint that is taken for unreachable because this process had no processor for a while.
    Given a peer that keeps connections
    When a "GET" is sent to the peer by a client that stands still for longer than its connect timeout of 0.3 s
    Then the peer's answer is "kept"

  Scenario: A cancelled exchange
    Guards against an answer that is still reported after its owner cancelled the exchange.
    Given a peer that answers one byte every 0.05 s without end
    When a "GET" is sent to the peer and cancelled after the answer's head
    Then the peer sees the connection close and nothing more is reported

  Scenario: An exchange whose owner takes no more of the answer for a while
    Guards against an answer that is read faster than it is passed on, a pause that is taken for the peer's silence, and
    one that holds up other exchanges with the same peer.
    Given a peer with an answer of 16000000 bytes on its first connection
    When a "GET" is sent to the peer and paused for 1 s, with a silence timeout of 0.4 s
    Then less than 500000 bytes were reported during the pause
    And another "GET" to the peer was answered during the pause
    And the first answer is complete with 16000000 bytes

  Scenario Outline: A paused exchange that ends
    Guards against a pause that keeps an exchange open, or that outlasts it on its connection.
    Given a peer with an answer of 16000000 bytes on its first connection
    When a "GET" is sent to the peer and paused until it <end>
    Then 1 connections to the peer are closed
    And a "GET" sent later is answered, though the first one is resumed now

    Examples:
      | end                         |
      | is cancelled                |
      | reaches its total timeout   |

  Scenario Outline: An answer without a length that ends while its request is still being sent
    Guards against a caller that takes a part of an answer for the whole: the peer has not got all of the request, so
    that the end of its connection, by a reset or not, is not the end of an answer.
    Given an endpoint that answers a part of an upload without a length and <ending>
    When a "POST" of <size> bytes is sent to the peer over the daemon's poller
    Then the exchange fails as "endpoint_lost" with bytes sent

    Examples:
      | ending                              | size     |
      | resets the connection               | 16000000 |
      | resets the connection               | 60000    |
      | resets it when the part has arrived | 16000000 |
      | resets it when the part has arrived | 60000    |
      | closes it with bytes unread         | 16000000 |
      | closes it with bytes unread         | 60000    |
      | ends its side and reads no more     | 16000000 |
      | ends its side and reads no more     | 60000    |

  Scenario Outline: An answer without a length that ends once its request has arrived
    Guards against a whole answer that counts as lost, and against a reset that counts as its end.
    Given an endpoint that answers a whole upload without a length and <ending>
    When a "POST" of <size> bytes is sent to the peer over the daemon's poller
    Then the outcome of the exchange is "<outcome>"

    Examples:
      | ending                                       | size     | outcome       |
      | closes it                                    | 16000000 | complete      |
      | closes it                                    | 60000    | complete      |
      | closes it                                    | 0        | complete      |
      | resets it when the part has arrived          | 60000    | endpoint_lost |
      | resets it while the client stands still      | 60000    | endpoint_lost |
      | ends its side and resets it at a standstill  | 60000    | endpoint_lost |

  Scenario Outline: A refusal with a length that comes while the request is still being sent
    Guards against a refusal that is lost with the rest of the upload, so that its caller is told that the request may
    have run.
    Given an endpoint that refuses a part of an upload and <ending>
    When a "POST" of <size> bytes is sent to the peer over the daemon's poller
    Then the peer's answer is "full"

    Examples:
      | ending                      | size     |
      | resets the connection       | 16000000 |
      | closes it with bytes unread | 16000000 |
      | closes it with bytes unread | 60000    |

  Scenario Outline: An answer with a status that does not exist
    Guards against a caller that gets a status which no answer can have, and against an interim answer that is taken for
    the final one.
    Given a peer with the answer "HTTP/1.1 <status line>\r\n<framing>\r\nwhole" before it closes
    When a "GET" is sent to the peer
    Then the exchange fails as "endpoint_failed" with bytes sent
    And no head of an answer was reported

    Examples:
      | status line | framing                |
      | 000 OK      | Content-Length: 5\r\n  |
      | 000 OK      |                        |
      | 000         | Content-Length: 5\r\n  |
      | 099 OK      | Content-Length: 5\r\n  |
      | 100 OK      | Content-Length: 5\r\n  |
      | 102 OK      |                        |
      | 199 OK      | Content-Length: 5\r\n  |
      | 101 OK      |                        |
      | 600 OK      | Content-Length: 5\r\n  |
      | 700 OK      |                        |
      | 999 OK      | Content-Length: 5\r\n  |
      | 20 OK       | Content-Length: 5\r\n  |
      | 2000 OK     | Content-Length: 5\r\n  |
      | 20x OK      | Content-Length: 5\r\n  |
      | -20 OK      | Content-Length: 5\r\n  |
      | OK          | Content-Length: 5\r\n  |

  Scenario: An earlier answer without a length in place of the next one
    Guards against a request that gets no report of its end, since the end of the connection completes an answer to an
    earlier request.
    Given an endpoint that answers the second request with the id of the first, without a length
    When the requests "first" and "second" are sent to this peer one after the other
    Then the status 200 is reported for the first and the second is lost
