Feature: Answers of peers are read as h11 reads them, or refused
  Guards against a lenient compiled parser that passes a short or mixed answer on
  as a whole one, and against framing that two readers understand in two ways.

  Scenario: Valid answers, cut at any places
    Guards against a status, field, body or end that differs from h11's or depends on where a read ends.
    When 600 valid answers are read by both parsers
    Then both read the same from each answer
    And at least 500 of the answers were whole

  Scenario: Damaged answers, cut at any places
    Guards against a damaged answer that is taken for a whole one, or whose connection is kept.
    When 2000 damaged answers are read by both parsers
    Then each whole answer is the one that h11 reads
    And at least 700 of the answers were whole
    And at least 1000 of the answers were refused

  Scenario Outline: Answers of unclear extent
    Guards against answers that two readers of a path end at different places.
    When the answer "<answer>" is read
    Then it is "<outcome>" and h11 calls it "<h11>"

    Examples: refused although h11 takes them
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab                | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab                                  | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n c\r\n\r\nab                       | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\n\r\nab                               | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\nContent-Length: 2\n\nab                                           | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\x01c\r\n\r\nab                        | endpoint_failed | whole           |
      | HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab                                     | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\nab\r\n0\r\n\r\n         | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;\r\nab\r\n0\r\n\r\n         | endpoint_failed | whole           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n       | endpoint_failed | whole           |

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

    Examples: refused here, since the library takes them and h11 does not
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

    Examples: cut
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na                                      | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n                                           | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 150 Wait\r\nContent-Length: 2\r\n\r\n                                     | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n                   | endpoint_lost   | endpoint_lost   |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n              | endpoint_lost   | endpoint_lost   |

    Examples: whole
      | answer                                                                             | outcome         | h11             |
      | HTTP/1.1 200 OK\r\n\r\nab                                                          | whole           | whole           |
      | HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nab           | whole           | whole           |
      | HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab                                        | whole           | whole           |
      | HTTP/1.1 200 OK\r\nUpgrade: a\r\nConnection: upgrade\r\nContent-Length: 2\r\n\r\nab | whole          | whole           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;a="b;c"\r\nab\r\n0\r\n\r\n  | whole           | whole           |
      | HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n\r\n                              | whole           | whole           |

  Scenario Outline: Bytes without end that are no body
    Guards against a peer that fills the memory with framing.
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
