Feature: The callers' listener over TLS
  Each scenario starts its own listener with a certificate made for the tests.

  Background:
    Given a listener process with a certificate that gives requests 3 s

  Scenario Outline: Calls over TLS
    Guards against requests and answers that are truncated when they are longer
    than one TLS record or than what the socket accepts at once.
    Then calls over TLS with <size> characters are answered in full

    Examples:
      | size   |
      | 5      |
      | 600000 |

  Scenario: A plain HTTP call
    Guards against an unencrypted answer, and against a listener that hangs on
    input that is not a TLS handshake.
    Then a plain HTTP call gets no answer and the end of its connection
    And calls over TLS with 5 characters are answered in full

  Scenario Outline: A client that stalls in the handshake
    Guards against one client whose handshake blocks all others, and against
    connections that are kept open for ever.
    When 8 clients <stall> and send nothing more
    Then a call over TLS is answered within 1 s meanwhile
    And each stalled client is closed without an answer within 5 s

    Examples:
      | stall                                |
      | connect                              |
      | send the first half of their message |
