Feature: Answers of peers are parsed as h11 parses them, or refused
  Guards against a lenient compiled parser that accepts a truncated or mixed
  answer as complete, and against framing that two parsers interpret differently.

  Scenario: Valid answers, split at random positions
    Guards against a status, field, body or end that differs from h11's or depends on how the reads are split.
    When 600 valid answers are parsed by both parsers
    Then both return the same for each answer
    And at least 500 of the answers were complete

  Scenario: Corrupted answers, split at random positions
    Guards against a corrupted answer that is taken for a complete one, or whose connection is reused.
    When 2000 corrupted answers are parsed by both parsers
    Then each complete answer is the one that h11 returns
    And at least 700 of the answers were complete
    And at least 1000 of the answers were refused

  Scenario Outline: Answers with ambiguous or invalid framing
    Guards against answers that two parsers on a path end at different positions.
    When the answer "<answer>" is parsed
    Then the outcome is "<outcome>" and that of h11 is "<h11>"

    Examples: refused although h11 accepts them
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab                | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab                                  | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n c\r\n\r\nab                       | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\n\r\nab                               | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\nContent-Length: 2\n\nab                                           | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\x01c\r\n\r\nab                        | endpoint_failed | complete        |
      | HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab                                     | endpoint_failed | complete        |
      | HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nab                                     | endpoint_failed | complete        |
      | HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nab                                     | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nab\r\n0\r\n\r\n         | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;\r\nab\r\n0\r\n\r\n         | endpoint_failed | complete        |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n       | endpoint_failed | complete        |

    Examples: refused by both
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc               | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\nabc                                 | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab                                    | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nab                                       | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab                                    | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\nab                                    | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nA: b\rContent-Length: 2\r\n\r\nab                               | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\nb\r\nab\r\n0\r\n\r\n     | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab0\r\n\r\n              | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\n0\r\n\r\n            | endpoint_failed | endpoint_failed |
      | HTTP/1.1 101 Switching\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nab              | endpoint_failed | endpoint_failed |
      | HTTP/1.1 101 Switching\r\n\r\nab                                                   | endpoint_failed | endpoint_failed |

    Examples: refused here, since httptools accepts them and h11 does not
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n    | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n2\r\nab\r\n0\r\n\r\n    | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n2\r\nab\r\n0\r\n\r\n         | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab                               | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | endpoint_failed | endpoint_failed |
      | \r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab                                 | endpoint_failed | endpoint_failed |
      | RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab                                     | endpoint_failed | endpoint_failed |
      | HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nab                                | endpoint_failed | endpoint_failed |
      | HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nab                                     | endpoint_failed | endpoint_failed |

    Examples: truncated
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na                                      | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n                                           | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 150 Wait\r\nContent-Length: 2\r\n\r\n                                     | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n                   | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n              | endpoint_lost   | endpoint_lost   |

    Examples: complete
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\n\r\nab                                                          | complete        | complete        |
      | HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nab           | complete        | complete        |
      | HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab                                        | complete        | complete        |
      | HTTP/1.1 200 OK\r\nUpgrade: a\r\nConnection: upgrade\r\nContent-Length: 2\r\n\r\nab | complete       | complete        |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a="b;c"\r\nab\r\n0\r\n\r\n  | complete        | complete        |
      | HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n                              | complete        | complete        |

  Scenario Outline: Endless bytes that are not body data
    Guards against a peer that fills the memory with header fields, trailer fields or chunk extensions.
    When a peer sends "<start>" and then "<more>" without end
    Then the answer is refused after less than 20000 bytes

    Examples:
      | start                                                                    | more   |
      | HTTP/1.1 200 OK\r\n                                                      | a: b\r\n |
      | HTTP/1.1 200 OK\r\na: b                                                  | c      |
      | HTTP/1.1 200 OK\r\nb                                                     | c      |
      | HTTP/1.1 200 O                                                           | K      |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n     | a: b\r\n |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\na: b | c      |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b                | c      |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n                     | 0      |

  Scenario: An answer that stops at any place of its head
    Guards against a caller that gets a success with an empty or short body, framed as whole, of an engine that stopped in
    the middle of its answer's head and closed.
    Then an answer cut at each place of its head is lost and reports no head, whatever its framing
