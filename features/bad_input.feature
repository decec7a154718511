Feature: Bad input to the callers' listener
  Guards against input that hangs a connection, exhausts memory, exposes a
  traceback or leads to an answer for the wrong caller. Each scenario starts its
  own listener.

  Background:
    Given a listener process that gives requests 30 s

  Scenario: Broken framing
    Guards against framing that two parsers interpret differently (request
    smuggling), and against a traceback in the answer.
    Then each of these gets the error and the end of its connection
      | request                                                        | error             |
      | {post}Content-Length: ten\r\n\r\n                              | bad_request       |
      | {post}Content-Length: -1\r\n\r\n                               | bad_request       |
      | {post}Content-Length: +1\r\n\r\nx                              | bad_request       |
      | {post}Content-Length: 99999999999999999999999999\r\n\r\n       | bad_request       |
      | {post}Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}         | bad_request       |
      | {post}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}         | bad_request       |
      | {post}Content-Length: 2, 2\r\n\r\n{}                           | bad_request       |
      | {post}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n  | bad_request       |
      | {chunked}zz\r\n                 | bad_request       |
      | {chunked}-5\r\nabcde\r\n        | bad_request       |
      | {chunked}1\r\nab\r\n0\r\n\r\n   | bad_request       |
      | {post}Transfer-Encoding: gzip\r\n\r\n                          | bad_request       |
      | {post}Content-Length : 2\r\n\r\n{}                             | bad_request       |
      | {post}X: a\x00b\r\n\r\n                                        | bad_request       |
      | NONSENSE\r\n\r\n                                               | bad_request       |
      | GET /v1/models\r\n\r\n                                         | bad_request       |
      | GET /v1/models HTTP/9.9.9\r\nHost: a\r\n\r\n                   | bad_request       |
      | GET /v1/models HTTP/1.1\r\n\r\n                                | bad_request       |
      | GET /v1 /models HTTP/1.1\r\nHost: a\r\n\r\n                    | bad_request       |
      | GET /v1/m\xffdels HTTP/1.1\r\nHost: a\r\n\r\n                  | bad_request       |
      | CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n                        | bad_request       |
      | \x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n           | bad_request       |

  Scenario: Wrong content in well-framed requests
    Guards against a wrong type or name that is accepted, or refused without
    naming what is wrong.
    Then each of these gets the error on a connection that stays open
      | request                                                                                 | error              | says                |
      | {"model": "echo"                                                                        | bad_request        | truncated           |
      | ["\xff\xfe"                                                                             | bad_request        |                     |
      | []                                                                                      | bad_request        | Expected `object`   |
      | {"model": 1, "messages": []}                                                            | bad_request        | $.model             |
      | {"model": "echo"}                                                                       | bad_request        | messages            |
      | {"model": "echo", "messages": []}                                                       | bad_request        | $.messages          |
      | {"model": "echo", "messages": [{"role": "user", "content": 5}]}                         | bad_request        | content             |
      | {"model": "echo", "messages": [{"role": "king", "content": "a"}]}                       | bad_request        | role                |
      | {"model": "echo", "messages": [{"role": "user", "content": "a"}], "max_tokens": "many"} | bad_request        | $.max_tokens        |
      | {"model": "echo", "messages": [{"role": "user", "content": "a"}], "max_tokens": -1}     | bad_request        | $.max_tokens        |
      | {"model": "echo", "messages": [{"role": "user", "content": "a"}], "stream": "yes"}      | bad_request        | $.stream            |
      | {"x": {deep}                                                                            | bad_request        | deep                |
      | {"model": "none", "messages": [{"role": "user", "content": "a"}]}                       | unknown_model      |                     |
      | {"model": "other", "messages": [{"role": "user", "content": "a"}]}                      | forbidden          |                     |
      | GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n                                              | unauthorised       |                     |
      | GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer wrong\r\n\r\n               | unauthorised       |                     |
      | GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer n\xf6rth\r\n\r\n            | unauthorised       |                     |
      | GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Basic bm9ydGgta2V5\r\n\r\n         | unauthorised       |                     |
      | GET /v1/none HTTP/1.1\r\nCookie: =;=\r\n{key}                                           | unknown_path       |                     |
      | GET /v1/none HTTP/1.1\r\nX-Real-Ip: \xff\r\n{key}                                       | unknown_path       |                     |
      | GET //../%00/%zz?%=& HTTP/1.1\r\n{key}                                                  | unknown_path       |                     |
      | GET /v1/services/none/x HTTP/1.1\r\n{key}                                               | unknown_path       |                     |
      | DELETE /v1/models HTTP/1.1\r\n{key}                                                     | method_not_allowed |                     |
      | BREW /v1/chat/completions HTTP/1.1\r\n{key}                                             | method_not_allowed |                     |
      | DELETE /v1/services/fees/x HTTP/1.1\r\n{key}                                            | key_required       |                     |
      | {post}X-Request-Timeout-S: soon\r\nContent-Length: {length}\r\n\r\n{echo}               | bad_request        | X-Request-Timeout-S |
      | {post}X-Request-Timeout-S: -1\r\nContent-Length: {length}\r\n\r\n{echo}                 | bad_request        | X-Request-Timeout-S |
      | {post}X-Request-Timeout-S: nan\r\nContent-Length: {length}\r\n\r\n{echo}                | bad_request        | X-Request-Timeout-S |

  Scenario: Oversized input
    Guards against input that is buffered without limit.
    Then each of these gets the error and the end of its connection
      | request                                                       | error             |
      | {post}X-Padding: {3 MB}                                       | headers_too_large |
      | GET /{3 MB}                                                   | headers_too_large |
      | {post}Content-Length: 3000000\r\n\r\n{3 MB}                   | body_too_large    |
      | {post}Expect: 100-continue\r\nContent-Length: 3000000\r\n\r\n | body_too_large    |
      | {chunked}{2 MB in chunks}                                     | body_too_large    |
      | {chunked}{small chunks}                                       | bad_request       |
      | {echo 900 kB}                                                 | prompt_too_long   |
    And the process never held more than 40 MB above its start

  Scenario: Many incomplete bodies
    Guards against memory exhausted by many slow bodies together, each of them
    below the limit of one body.
    When 12 connections each send 400000 bytes of a longer body
    Then at least 4 of them get "overloaded"
    And the process never held more than 40 MB above its start

  Scenario: Many large bodies whose calls are being answered
    Guards against a process that is killed for its memory, with all its calls, since only incomplete bodies count.
    When 12 calls to "silent" with bodies of 400000 bytes are sent
    Then at least 4 of them get "overloaded"
    And a small call is answered
    And the process never held more than 40 MB above its start
    When their callers leave
    Then a call with a body of 400000 bytes is answered

  Scenario: Slow senders
    Guards against a connection that is occupied for ever by a caller that stops
    sending, or sends a byte now and then.
    Given a listener process that gives requests 1 s
    Then each of these gets the error and the end of its connection
      | request                                   | error           |
      | GET /v1/mod                               | request_timeout |
      | GET /v1/models HTTP/1.1\r\nHost: a\r\n    | request_timeout |
      | {post}Content-Length: 100\r\n\r\n{"model" | request_timeout |
      | {chunked}5\r\nab                          | request_timeout |
    And a request that sends a byte every 0.1 s gets "request_timeout"
    And a connection that sends nothing is closed without an answer

  Scenario: Too many connections
    Guards against running out of file descriptors and memory.
    When 40 connections wait for an answer
    Then each of these gets the error and the end of its connection
      | request | error      |
      |         | overloaded |
    And once they are closed the listener serves requests again

  Scenario Outline: Pipelined requests
    Guards against an answer that the caller assigns to another request, or that
    is never sent.
    When two requests arrive <how>
    Then the first is answered and the second gets "bad_request" and the end of its connection

    Examples:
      | how                                   |
      | in one piece                          |
      | while the first is not yet answered   |

  Scenario: Expect 100-continue
    Guards against a caller that waits for ever before it sends its body, or
    sends one that is then refused.
    Then a caller that expects 100-continue gets it, sends its body and is answered

  Scenario: A call that nothing answers
    Guards against a caller that gets no answer after its deadline because the
    component that serves the call never answers.
    When a call to "silent" with a timeout of 0.3 s is sent
    Then it gets "deadline_exceeded" after at least 0.3 s
    And the components are notified that its caller is gone

  Scenario: An answer that is cut
    Guards against a truncated answer that looks complete.
    When a streamed call to "cut" is sent
    Then its answer ends with an error event and no end marker

  Scenario Outline: An answer of a plain service that is cut
    Guards against a truncated answer that looks complete because it is taken for a stream of chat events, whose end
    marker its caller knows.
    When a call to the service "fees" whose answer of type "<type>" is cut is sent over HTTP/1.<minor>
    Then its answer ends with its first part and <end>

    Examples:
      | type              | minor | end                |
      | text/event-stream | 1     | without its end    |
      | text/event-stream | 0     | a reset connection |
      | text/plain        | 1     | without its end    |
      | text/plain        | 0     | a reset connection |

  Scenario: A caller that leaves
    Guards against work that continues for a caller that has disconnected.
    When a call to "silent" is taken and its connection closed
    Then the components are notified that its caller is gone

  Scenario: A caller that does not read
    Guards against memory exhausted by an answer that its caller does not read.
    When a streamed call to "flood" is sent
    Then the components are notified that its caller is gone
    And the process never held more than 40 MB above its start

  Scenario: A caller that reads nothing of a long answer
    Guards against an answer and its connection that are kept for ever because
    the caller stops reading, and against closing a caller that reads slowly.
    Given a listener process that closes stalled callers after 1 s
    When a streamed call to "long" is sent by a caller that does not read
    Then the components are notified after 1 to 4 s
    And a caller that reads a little of "long" every 0.1 s gets all

  Scenario: A fault in the process
    Guards against a traceback that is sent to a caller.
    When a streamed call to "fault" is sent
    Then its answer is "internal" and the end of its connection

  Scenario: Draining
    Guards against new work on an instance that is shutting down, and against
    cutting off an answer that is under way.
    When a streamed call to "drain" is sent
    Then its answer is complete and its connection ends
    And each of these gets the error and the end of its connection
      | request                            | error    |
      | GET /v1/models HTTP/1.1\r\n{key} | draining |
