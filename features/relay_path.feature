@fleet
Feature: Requests through a complete fleet on the platform
  Guards against a broken path anywhere between callers, instances, the store and endpoints. The fleet is three
  instances, the store and five endpoints as processes.

  Scenario: Streams, calls and refusals
    Guards against answers that are changed, delayed, or given to a caller without a key or a route.
    Given a relay fleet
    Then a stream arrives complete and unchanged through each instance
    And a plain answer arrives with the endpoint's stamp through each instance
    And a request without a key gets 401, one without a route 404
    And a body over the limit gets 413
    And the directory of each instance lists all three
    And the log has the timeline of each request
    And no log of an instance has an error of the program itself

  Scenario: Endpoints that fail
    Guards against an endpoint failure that makes a charge run twice, fails a lookup that another endpoint could
    answer, or leaves out events of a stream.
    Given a relay fleet
    Then a lookup whose endpoint resets is answered by the other one
    And a charge whose endpoint resets ends as 502 and ran once
    And a charge by GET ran once if its endpoint resets a reused connection
    And a charge that all endpoints reject gets 503 and never ran
    And a stream that breaks off is resumed at another engine
    And an answer to another request is not passed to the caller

  Scenario Outline: Endpoints that break off during an upload, and statuses that do not exist
    Guards against a caller that gets a part of an answer as the whole, or a status that no answer can have, and against
    endpoints that go on getting requests though they answer so.
    Given a relay fleet
    When all endpoints show the fault "<fault>"
    Then a charge of 6 MB gets 502, without a stamp
    And a lookup of 6 MB gets 502, without a stamp
    And a draft of 6 MB gets 502, without a stamp
    And the log has failed attempts with the fault "<logged>"

    Examples:
      | fault           | logged    |
      | early           | broke_off |
      | early_end       | broke_off |
      | status 000 OK   | garbled   |
      | status 099 Wait | garbled   |
      | status 600 OK   | garbled   |

  Scenario: A fault in native code
    Guards against an instance that ends by itself and leaves nothing in its log but lines on requests.
    Given a relay fleet
    When an instance ends by a segmentation fault
    Then the end of its output has the stacks of its threads

  Scenario: An engine pauses while all others are full
    Guards against a stream of a sound engine that is cut off because the engine was silent for a second.
    Given a relay fleet
    When an engine pauses for 1.2 seconds in a stream and all others are full
    Then the stream arrives complete from that engine

  Scenario: An engine pauses in a stream that needs several engines' memory while all others are full
    Guards against a stream that gets neither its rest nor a refusal: the attempt at its sound engine was closed, with
    its reserved memory released, before another engine had taken it.
    Given a relay fleet with 6 engines
    When an engine pauses for 1.2 seconds in a stream of 400000 tokens and all others are full
    Then the stream arrives complete from that engine
    And no engine holds reserved memory

  Scenario: The engine of a stream that needs several engines' memory goes silent for good
    Guards against memory that stays reserved at the other engines until the time limit of a request that its engine
    has dropped.
    Given a relay fleet with 6 engines behind proxies
    When the engine of a stream of 400000 tokens is cut off and all others are full
    Then the memory at the other engines is released within 4 seconds

  Scenario: A caller that knows no chunks sees that a stream broke off
    Guards against an answer that ends with its connection and looks complete although it broke off halfway.
    Given a relay fleet
    When a caller with HTTP/1.0 asks for a stream that breaks off at every engine
    Then its connection is reset after the first events

  Scenario: Changes by the operator take effect within two seconds
    Guards against an instance that applies a change late, so that revoked keys, moved routes, leaving endpoints or
    evacuated data centres stay in use.
    Given a relay fleet
    Then a revoked key is refused everywhere within 2 seconds
    And a configuration that cannot be read changes nothing
    And a newer configuration without routes changes nothing
    And a leaving endpoint gets no requests after 2 seconds
    And an evacuated data centre gets no requests after 2 seconds, and requests again when it is back in service

  Scenario: A configuration that takes the last tenant away
    Guards against requests that run with the dropped key, or with any other, because no tenant is left.
    Given a relay fleet
    When a configuration with an empty list of tenants is written
    Then within 2 seconds no instance serves a request with the dropped, an unknown or no key
    When the store refuses every call
    And an instance is killed and starts again
    Then within 2 seconds no instance serves a request with the dropped, an unknown or no key
    When the store answers again and a configuration without a list of tenants is written
    Then within 2 seconds each instance serves requests with and without a key

  Scenario: The store is unavailable
    Guards against requests that fail because of the store, and against changes that reach only the instance that
    read them from the store.
    Given a relay fleet
    When the store refuses every call
    Then requests are served as before
    And a change that only one instance can read reaches the others
    And an instance that restarts gets its state from the others

  Scenario: Instances stop, die and reload
    Guards against requests cut off by a planned stop, callers directed to a dead instance, and an instance that exits
    on a reload.
    Given a relay fleet
    When an instance gets SIGTERM while a stream runs
    Then the stream arrives complete, no other instance lists it after 2 seconds, and it exits with 0
    And a killed instance is no longer listed after 6 seconds
    And an instance that gets SIGHUP reads its settings and goes on

  Scenario: A caller that disconnects
    Guards against engines that go on with an answer whose caller has disconnected.
    Given a relay fleet
    When a caller disconnects in the middle of a stream
    Then the engine cancels its work within half a second
