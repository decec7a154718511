Feature: The life of a relayed request
  Guards against requests that run twice, refusals that are untrue, streams with a hole, and requests that
  never end.

  Scenario: Any course of events keeps the promises
    Guards against a request that may run once and is sent again after it may have run, a 503 for one that ran,
    two final answers, and an endpoint that is tried twice.
    Then in 3000 random courses each request ends once and its answer is true

  Scenario: A stream is continued at another engine
    Guards against a piece that comes twice or is missing where one engine's answer ends and another's begins.
    Given a resumable stream of which 2 events came
    When its engine breaks off inside of event 3
    Then it is sent to another engine to go on after event 2
    And of that engine's events 3 and 4 both are passed on with the first engine's head

  Scenario: A hole in a stream is no stream
    Guards against events of two runs that are joined with a gap.
    Given a resumable stream of which 2 events came
    When the engine sends event 4
    Then it is sent to another engine to go on after event 2

  Scenario: A stream that may not be resumed is cut
    Guards against a second run of a request that may run once.
    Given a stream that may not be resumed of which 2 events came
    When its engine breaks off inside of event 3
    Then the caller's connection is cut

  Scenario: A request that no engine ran is refused truthfully
    Guards against a 502 that keeps callers from coming back, and against endless tries at full engines.
    Given a request that may run once
    When 4 endpoints say that they did not run it
    Then it is refused for now as overloaded

  Scenario: An endpoint that another one has replaced is left alone
    Guards against each request in turn finding another endpoint at the address of one that is gone.
    Given a repeatable call
    When another endpoint answers at the address
    Then it is sent to another endpoint
    And 1 endpoint is blamed as replaced

  Scenario Outline: Only what arrived somewhere counts as a repeat
    Guards against a budget for repeats that is used up by connections that dead endpoints refuse.
    Given a repeatable call
    When <before>
    Then it is sent to another endpoint
    And it is sent <as>

    Examples:
      | before                               | as            |
      | nothing listens at its endpoint      | the first time |
      | its endpoint answers 500             | once more     |
      | another endpoint answers at the address | once more  |

  Scenario: A request that may have run is not refused
    Guards against a promise of 503 for a charge that may have been made.
    Given a request that may run once
    When its connection breaks after it was sent
    Then it ends as endpoint_lost

  Scenario: A repeatable call that fails is asked elsewhere
    Guards against passing on a fault that another endpoint does not have.
    Given a repeatable call
    When its endpoint answers 500
    Then it is sent to another endpoint

  Scenario: The failure of the last endpoint is passed on unchanged
    Guards against a status that differs from the endpoint's own.
    Given a repeatable call
    When its endpoint answers 500
    And its endpoint answers 500
    Then the caller gets the endpoint's 500

  Scenario Outline: A failure is blamed on the endpoint only if another one could
    Guards against a service that is left alone because of requests that fail everywhere.
    Given a repeatable call
    When its endpoint answers 500
    And its endpoint answers <second>
    Then <blamed> endpoints are blamed

    Examples:
      | second | blamed |
      | 500    | 0      |
      | 200    | 1      |

  Scenario: No repeat without budget
    Guards against a storm of repeats while a service fails.
    Given a repeatable call whose service may get no repeats
    When its endpoint answers 500
    Then the caller gets the endpoint's 500

  Scenario: A silent engine is left before its caller leaves
    Guards against waiting for a dark engine until the caller has gone.
    Given a resumable stream of which 2 events came
    When nothing comes for 1 second
    Then it is sent to another engine to go on after event 2

  Scenario: A silent engine is waited for when no other may be asked
    Load: bursts of long prompts, whose reading delays streams for seconds. Guards against cutting an answer that an
    engine only delays, and against leaving engines alone that are only busy, so that the others are crowded.
    Given a resumable stream at the last engine that it may use
    When nothing comes for 2 seconds
    And the engine goes on with event 1
    Then the event is passed on and no endpoint is blamed

  Scenario: Dead endpoints are passed over, one after the other
    Guards against refusing a request because many endpoints crashed together and others live.
    Given a repeatable call
    When nothing listens at 6 endpoints in turn
    Then it is sent to endpoint 7 in the order

  Scenario: A stream that broke off late is continued past dead engines
    Load: a data centre's engines crash together while they write long answers. Guards against giving a stream up at the
    first engine that does not listen, since it began long ago.
    Given a resumable stream of which 2 events came
    When its engine breaks off after 3 seconds and the next 2 do not listen
    Then it is sent to endpoint 4 in the order
    And it goes on after event 2

  Scenario: An instance that reaches nothing says so soon
    Guards against a request that is held at an instance which is cut off from all endpoints.
    Given a repeatable call
    When 3 connections in turn time out after 0.45 seconds
    Then it is refused for now as overloaded

  Scenario: The time limit ends a request
    Guards against requests that are held past their route's limit.
    Given a request that may run once
    When nothing comes for 11 seconds
    Then it ends as deadline_exceeded

  Scenario: Memory that is refused is asked for elsewhere
    Guards against reserved memory that is lost when a division fails.
    Given a stream that needs reserved memory
    When the memory is refused
    Then all of it is given back and other engines are asked
