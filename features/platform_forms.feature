Feature: Wire formats of the users' platform
  Guards against rows and requests that are parsed wrongly, and headers that leak or get lost.

  Scenario: A configuration row is parsed into serving types
    Guards against a route with the wrong service or limits, or with retries of requests that may not run twice.
    Given a configuration row with a streaming, a retryable and a non-retryable route
    Then each route has its kind, limits and targets
    And the engine profile is in seconds and tokens
    And API keys are kept as digests only

  Scenario: A configuration with whole numbers such as 2.0
    Guards against a valid version that no instance takes, since its writer has 2.0 where others have 2.
    Then a configuration whose whole numbers end in .0 is read like one without

  Scenario: An endpoint's entry with whole numbers such as 2.0
    Guards against a sound endpoint that gets no requests, since its entry has 2.0 where others have 2.
    Then an endpoint's entry whose whole numbers end in .0 is read like one without

  Scenario Outline: An invalid configuration is refused with a reason
    Guards against an invalid row that replaces the configuration in force.
    Then the configuration <content> is refused

    Examples:
      | content                              |
      | {"version": "x"}                     |
      | {"version": 3, "routes": [{}]}       |
      | not JSON                             |
      | {"version": 3}                       |
      | {"version": 3, "routes": []}         |
      | {"version": 3, "services": []}       |
      | {"version": 3, "services": [], "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "service": "x", "timeoutMs": -1}]} |
      | {"version": 3, "services": [], "routes": [], "limits": {"maxHeaderBytes": 0, "maxBodyBytes": 9, "headerTimeoutMs": 9, "idleTimeoutMs": 9}} |
      | {"version": 3, "routes": [], "services": [{"name": "x", "engine": {"slots": 1, "kvTokens": 1, "step_ms": 1, "read_per_s": 0}}]} |
      | {"version": 3, "routes": [], "services": [{"name": "x", "engine": {"slots": 1, "kvTokens": 1, "step_ms": 1, "read_per_s": 1, "chunk": 0}}]} |
      | {"version": 9007199254740992, "services": [], "routes": []} |
      | {"version": 9007199254740992.0, "services": [], "routes": []} |
      | {"version": 3.5, "services": [], "routes": []} |
      | {"version": 3, "services": [], "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "service": "x", "attempts": 1.5}]} |
      | {"version": 3, "services": [], "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "safe", "service": "x", "attempts": 18446744073709551616}]} |
      | {"version": 3, "routes": [], "services": [{"name": "x", "maxConnections": 18446744073709551616}]} |
      | {"version": 3, "routes": [], "services": [{"name": "x", "engine": {"slots": 18446744073709551616, "kvTokens": 1, "step_ms": 1, "read_per_s": 1}}]} |

  Scenario: A request is sent to an endpoint whose service the configuration has dropped meanwhile
    Guards against a request that is neither sent nor refused before its time limit, because a change of the
    configuration came while it waited for memory.
    Then a request to an endpoint of a dropped service is sent on one connection

  Scenario Outline: Content that is nested too deeply is refused
    Guards against a RecursionError that ends the handling of all other content of the same answer or message.
    Then a <content> that is nested too deeply is refused

    Examples:
      | content              |
      | configuration row    |
      | answer of the store  |
      | message of a peer    |
      | row of quarantines   |
      | registration         |

  Scenario Outline: The route with the longest matching prefix on the host gets the request
    Guards against a request that goes to a route with a shorter prefix or of another host.
    Given routes with the prefixes / and /a/ and /a/b/ on one host and /a/ on another
    Then the path <path> on host <host> goes to <route>

    Examples:
      | host       | path   | route |
      | one        | /a/b/c | /a/b/ |
      | one        | /a/b   | /a/   |
      | one        | /a/    | /a/   |
      | one        | /ab    | /     |
      | ONE:8080   | /a/x   | /a/   |
      | two        | /x     | none  |
      | three      | /a/    | none  |

  Scenario Outline: An invalid entry adds no endpoint
    Guards against requests to an invalid endpoint, and against losing valid entries of the same table change.
    Given an invalid entry <content> and a valid one
    Then only the valid entry is known

    Examples:
      | content                                                                                    |
      | {"service": 5, "address": "10.0.0.1:80", "zone": "a", "state": "ready"}                    |
      | {"service": "s", "address": "here", "zone": "a", "state": "ready"}                         |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "new"}                    |
      | {"service": "s", "zone": "a", "state": "ready"}                                            |
      | garbage                                                                                    |
      | {"service": "s", "address": "10.0.0.1:65536", "zone": "a", "state": "ready"}               |
      | {"service": "s", "address": "10.0.0.1:0", "zone": "a", "state": "ready"}                   |
      | {"service": "s", "address": "10.0.0.256:80", "zone": "a", "state": "ready"}                |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "born": 18446744073709551616} |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "slots": 18446744073709551616} |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "slots": 1.5} |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "coldRemainingMs": 1e200} |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "sequence": 18446744073709551616} |
      | {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "sequence": 1e999} |

  Scenario: An entry that is nested too deeply hides no other entry
    Guards against an instance that starts without any endpoint because one entry of another writer is nested too deeply.
    Given an entry with 2048 opening brackets and a valid one
    Then only the valid entry is known

  Scenario: Entries that expired and came back within one answer of the store count
    Guards against an instance without endpoints after an outage of the store, and against requests to a data centre that
    operators took out, back and out again.
    Given two engines and an evacuated data centre
    When the rows of both are removed and written again within one answer
    Then the engines are known and the data centre is out of service

  Scenario: A caller's request is parsed and forwarded
    Guards against forwarding the caller's API key, a workspace that the caller claims, or connection headers.
    Given a caller's request with all headers
    When it is received and sent to an engine
    Then the engine gets method, target, body and id unchanged
    And it gets the workspace of the API key and the remaining time, and no API key
    And it gets no header of the caller's connection

  Scenario Outline: The target of a request is passed on as it came
    Guards against a path or query that an engine gets changed.
    Then the target <target> reaches an engine unchanged

    Examples:
      | target    |
      | /look/y   |
      | /look/y?  |
      | /look/y?? |
      | /look?a=b |

  Scenario Outline: Numbers of thousands of digits are ignored
    Guards against an error while a header is parsed, which leaves its request without an answer.
    Then a field <name> of 5000 digits counts as absent
    And a load report of 5000 digits is ignored

    Examples:
      | name             |
      | request-deadline |
      | token-count      |
      | last-event-id    |

  Scenario Outline: A lost history names the version of the store, if it is legible
    Guards against logs that can't tell a store that dropped its history from one whose version is below the copy's.
    Then an answer 410 with <content> to a wait for changes names version <version>

    Examples:
      | content                  | version |
      | {"ver":36,"nowMs":29005} | 36      |
      | {"ver":"x"}              | 0       |
      | no content               | 0       |

  Scenario Outline: One odd row hides no other
    Guards against a row that stops all changes of its table at all instances, with refusals by an old configuration, since
    the same answer comes again and again until the history is lost.
    Then a wait answered with a row k and an odd one, <oddity>, has <rows>

    Examples:
      | oddity                             | rows  |
      | "key":"x","ver":5,"value":null     | k4 x5 |
      | "key":"x","ver":5,"value":"?"      | k4 x5 |
      | "key":"x","ver":5,"part":null      | k4 x5 |
      | "key":"x","ver":5,"deleted":true,"value":null | k4 x- |
      | "key":"x","ver":5,"deleted":null   | k4 x5 |
      | "key":"x","ver":null               | k4    |
      | "key":null,"ver":5                 | k4    |
      | "key":"x","ver":"5"                | k4    |

  Scenario: A wait of an earlier era whose number the new counter has passed
    Guards against lost changes that nobody notices: the store answers with those of the new era above that number, as if
    they continued the earlier one.
    Given the store is in era 2
    When a wait since 37 of era 1 is answered with row 40
    Then its history is lost, at version 40 of era 2

  Scenario: A wait of the current era
    Guards against a read of all rows for each change after a restore.
    Given the store is in era 2
    When a wait since 37 of era 2 is answered with row 40
    Then it has row 40 of era 2

  Scenario: A wait of the current era that is answered late, from an earlier one
    Guards against changes that were lost, as if they continued those of the current era.
    Given the store is in era 2
    When a wait since 37 of era 3 is answered with row 40
    Then it says nothing, as it was late

  Scenario Outline: A write expects a version of the current era only
    Guards against a write whose condition holds by accident, since another state of the row has the same number now.
    Given the store is in era 3
    Then a write that expects version <number> of era <era> is sent with <expected>

    Examples:
      | number | era | expected                 |
      | 37     | 3   | 37                       |
      | 37     | 2   | a number that no row has |
      | 37     | 1   | a number that no row has |
      | 0      | 3   | 0                        |

  Scenario Outline: An era that can't be read counts as the first one
    Guards against an error that ends the handling of all answers, and against an era that no later one ever exceeds.
    Given the store is in era 2
    Then an answer with <content> in the header Store-Era is of the first era
    And the era that the store named before is still known

    Examples:
      | content                 |
      | no header               |
      | an empty header         |
      | a header of letters     |
      | a fraction              |
      | a sign                  |
      | zero                    |
      | a number of 20 digits   |
      | a number of 5000 digits |

  Scenario: Rows of another part of a table are ignored
    Guards against a row of another part that replaces the configuration until the next scan.
    Then rows of another part of a table are ignored

  Scenario: A check of rows is a transaction that writes nothing
    Guards against a check that writes, or that the store answers without the rows that exist.
    Then a check of the rows servers/a and servers/b is a POST to /api/rows-tx
    And it expects that neither row exists, and has nothing to write or remove

  Scenario Outline: The answer to a check of rows is read
    Guards against a row that is taken as removed although the answer doesn't tell so, and against a version that no
    answer named.
    Then a check of the rows a and b, answered <status> with <content>, says: <outcome>

    Examples:
      | status | content                   | outcome                 |
      | 200    | no rows                   | found a- b- at 9        |
      | 412    | row a                     | found a4 at 9           |
      | 412    | row a and row b of ver 0  | found a4 b- at 9        |
      | 412    | row a of another part     | found at 9              |
      | 403    | no rows                   | unknown at 0            |
      | 429    | no rows                   | refused at 0            |
      | 503    | no rows                   | refused at 0            |
      | 200    | a body that is cut        | unknown at 0            |
      | 412    | a body that is cut        | unknown at 0            |
      | 412    | a value that is no base64 | unknown at 0            |

  Scenario Outline: The parts of a prompt that others may share are read
    Guards against the own part of a request among its shared parts, and against an unbounded list.
    Then the prompt prefix <prefix> has the shared parts <parts>

    Examples:
      | prefix                    | parts  |
      | none                      | none   |
      | 5c:800                    | none   |
      | 5C:40,91bd:410,e4:250     | 5c 91bd |
      | 5c:40, 91bd:410 ,e4:250   | 5c 91bd |
      | 5c,,e4:250                | 5c     |
      | 5c:x,e4                   | 5c     |

  Scenario: Prompt prefixes as long as a request's headers may be
    Guards against a deadly part that is not seen since it stands behind many others, in a second field, or has a long id.
    Then all parts of a prompt prefix as long as its headers may be are shared
    And ids of parts of 65 characters and more are told apart by short digests
    And a prompt prefix in several fields is one list

  Scenario Outline: Private routes need a known API key
    Guards against accepting an unknown or revoked key, and against refusing calls to public routes.
    Then a request with the key <key> on a route that is <kind> is <outcome>

    Examples:
      | key     | kind    | outcome      |
      | good    | private | taken        |
      | unknown | private | unauthorised |
      | none    | private | unauthorised |
      | none    | public  | taken        |
      | unknown | public  | taken        |

  Scenario Outline: Requests need a key as soon as the row lists tenants, even none
    Guards against a row with an empty list of tenants that admits every key.
    Then with the tenants <tenants> a request with <key> is <outcome>

    Examples:
      | tenants                          | key         | outcome      |
      | absent                           | no key      | taken        |
      | absent                           | unknown key | taken        |
      | []                               | no key      | unauthorised |
      | []                               | unknown key | unauthorised |
      | [{"name": "w"}]                  | no key      | unauthorised |
      | [{"name": "w"}]                  | unknown key | unauthorised |
      | [{"name": "w", "apiKeys": []}]   | unknown key | unauthorised |
      | [{"name": "w", "apiKeys": [""]}] | no key      | unauthorised |
      | null                             | unknown key | unreadable   |
      | {}                               | unknown key | unreadable   |

  Scenario: Refusals while the configuration is known to be out of date
    Guards against 404 and 401, after which callers don't retry, for routes and keys that are in force already.
    Given a listener with a configuration that is known to be out of date
    Then an unknown path, an unknown key and no key get 503, and a sound request is served
    When the configuration is known to be current again
    Then an unknown path gets 404, an unknown key and no key get 401, and a sound request is served

  Scenario Outline: The status and headers of an answer are classified
    Guards against treating a request that ran as not run, against accepting a success without the endpoint's stamp, and
    against a late copy of an earlier answer, without the echo of the request's id, that reaches the next caller.
    Then an answer <status> with <fields> is <kind>

    Examples:
      | status | fields                            | kind    |
      | 200    | server-stamp + request-id         | success |
      | 200    | server-stamp                      | alien   |
      | 200    | server-stamp + another request-id | alien   |
      | 200    | request-id                        | alien   |
      | 200    | nothing                           | alien   |
      | 503    | not-executed                      | not_run |
      | 503    | server-stamp                      | failure |
      | 421    | instance-id                       | moved   |
      | 429    | not-executed                      | not_run |
      | 500    | server-stamp                      | failure |
      | 404    | server-stamp                      | failure |

  Scenario Outline: An answer that ends with its connection is told apart
    Guards against taking the crash of an endpoint for the end of its answer.
    Then an answer with the length field <field> <kind> with its connection

    Examples:
      | field             | kind         |
      | content-length    | doesn't end  |
      | transfer-encoding | doesn't end  |
      | none              | ends         |

  Scenario: Prefill helpers and reservations are listed in the request
    Guards against a prompt that one engine prefills alone although the plan has prefill helpers.
    Then a plan with prefill helpers lists the runner first, then helpers with and without a reservation

  Scenario Outline: What an engine says of the requests that it takes is read from its own answers only
    Guards against figures that are no numbers, and against the words of an engine that has taken over the address.
    Then an answer <status> of <whom> with "<headers>" says: limit <limit>, leaving <leaving>, pause <pause>, unreadable <unreadable>

    Examples:
      | status | whom           | headers                                   | limit  | leaving | pause | unreadable     |
      | 200    | the engine     | x: y                                      | none   | no      | 0    | none           |
      | 200    | the engine     | server-limit: 1.2                         | 1.2    | no      | 0    | none           |
      | 200    | the engine     | server-limit: 1.3333333333333333          | 1.3333 | no      | 0    | none           |
      | 503    | the engine     | server-limit: 0; retry-after: 2           | 0      | no      | 2    | none           |
      | 200    | the engine     | server-leaving: 1                         | none   | yes     | 0    | none           |
      | 200    | the engine     | retry-after: 2                            | none   | no      | 0    | none           |
      | 200    | the engine     | server-limit: -1                          | none   | no      | 0    | server-limit   |
      | 200    | the engine     | server-limit:                             | none   | no      | 0    | server-limit   |
      | 200    | the engine     | server-limit: nan                         | none   | no      | 0    | server-limit   |
      | 200    | the engine     | server-limit: 1e999                       | none   | no      | 0    | server-limit   |
      | 200    | the engine     | server-limit: 99999999999                 | none   | no      | 0    | server-limit   |
      | 200    | the engine     | server-limit: 1; server-limit: 1          | none   | no      | 0    | server-limit   |
      | 200    | the engine     | server-leaving: soon                      | none   | no      | 0    | server-leaving |
      | 503    | the engine     | retry-after: Wed, 21 Oct 2026 07:28:00 GMT | none  | no      | 0    | retry-after    |
      | 421    | another engine | server-limit: 1                           | nobody | no      | 0    | none           |
      | 200    | another call   | server-limit: 1                           | nobody | no      | 0    | none           |
