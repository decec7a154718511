Feature: State machine of a relayed request
  Guards against requests that run twice, refusals that say "not run" for a request that ran, streams with missing
  events, and requests that never end.

  Scenario: Every random event sequence keeps the guarantees
    Guards against a retry of a request that may run only once and may have run, a 503 for a request that ran, two
    final answers, and an endpoint that is tried twice.
    Then in 3000 random timelines each request ends once and its answer is true

  Scenario: A stream is resumed at another engine
    Guards against an event that is duplicated or lost where one engine's answer ends and another's begins.
    Given a resumable stream that has received 2 events
    When its engine's answer breaks off in the middle of event 3
    Then it is sent to another engine and resumes after event 2
    And that engine's events 3 and 4 are forwarded with the first engine's head

  Scenario: A stream with a missing event is not forwarded
    Guards against events of two runs that are joined with a gap.
    Given a resumable stream that has received 2 events
    When the engine sends event 4
    Then it is sent to another engine and resumes after event 2

  Scenario Outline: Events before a fault that one read has with them are forwarded
    Guards against a stream that is resumed after an event that its caller never got, and ends as complete without it.
    Given a resumable stream that has received 2 events
    When one read has event 3 and then <fault>
    Then the caller got the events up to event 3 only
    And it is sent to another engine and resumes after event 3

    Examples:
      | fault                     |
      | event 7                   |
      | event 3                   |
      | an event without an end   |

  Scenario Outline: A stream with an event without an id is not resumed
    Guards against events that come twice, since nothing tells after which event the stream is to be resumed.
    Given a resumable stream that has received <count> events
    When the engine sends an event without an id and breaks off
    Then the caller's connection is closed

    Examples:
      | count |
      | 0     |
      | 2     |

  Scenario: A stream that must not be resumed is cut off
    Guards against a second run of a request that may run only once.
    Given a non-resumable stream that has received 2 events
    When its engine's answer breaks off in the middle of event 3
    Then the caller's connection is closed

  Scenario Outline: The engine that should resume a stream answers with an error
    Guards against an error's text in the middle of a stream, and against a stream that ends as complete without its last
    events.
    Given a resumable stream that has received 2 events
    When its engine's answer breaks off in the middle of event 3
    And the next engine answers <status> with a text
    Then the caller got the events up to event 2 only
    And it has ended once, with endpoint_lost

    Examples:
      | status |
      | 500    |
      | 400    |

  Scenario Outline: A stream that ends with its connection is complete only after an event
    Guards against an answer without a length or chunks whose engine crashed, passed on as a complete and empty one.
    Given a stream whose answer ends with its connection
    When its connection ends <place>
    Then the stream <outcome>

    Examples:
      | place                      | outcome                   |
      | before the first event     | is sent to another engine |
      | in the middle of event 2   | is sent to another engine |
      | after event 2              | is complete               |

  Scenario: A request that no engine ran is refused as not run
    Guards against a 502, after which callers do not retry, and against endless attempts at full engines.
    Given a request that may run only once
    When 4 endpoints say that they did not run it
    Then it is refused with overloaded

  Scenario: An endpoint whose address another one took over is reported
    Guards against requests that go on being sent to an address that another endpoint has taken over.
    Given a repeatable call
    When another endpoint answers at the address
    Then it is sent to another endpoint
    And 1 endpoint is reported as replaced

  Scenario Outline: An attempt is a retry only if an earlier one reached an endpoint
    Guards against a retry budget that is used up by connections that dead endpoints refuse.
    Given a repeatable call
    When <before>
    Then it is sent to another endpoint
    And it is sent <as>

    Examples:
      | before                                  | as                 |
      | nothing listens at its endpoint         | for the first time |
      | its endpoint answers 500                | as a retry         |
      | another endpoint answers at the address | as a retry         |

  Scenario: A request that may have run does not end with a 503
    Guards against a 503, which says that nothing ran, for a call, such as a payment, that may have run.
    Given a request that may run only once
    When its connection breaks after it was sent
    Then it ends with endpoint_lost

  Scenario: A repeatable call that fails is retried at another endpoint
    Guards against forwarding a failure that another endpoint does not have.
    Given a repeatable call
    When its endpoint answers 500
    Then it is sent to another endpoint

  Scenario: A plain answer is forwarded as it arrives when many requests share the memory for answers
    Guards against hundreds of answers that are buffered at once, and are kept when they are forwarded.
    Given a plain call that shares 1000 kB for answers with 99 others
    When its endpoint sends 10 kB of the answer
    Then nothing is forwarded yet
    When its endpoint sends 1 kB of the answer
    Then 11 kB of the answer are forwarded and none are buffered
    When its endpoint sends 5 kB of the answer
    Then 5 kB of the answer are forwarded and none are buffered

  Scenario: A refusal that was forwarded in part is not continued by another endpoint
    Guards against the events of one endpoint behind the error of another, with an end that looks complete.
    Given a stream that shares 1000 kB for answers with 99 others
    When its endpoint answers 400, sends 11 kB and breaks off
    Then nothing is sent to another endpoint and the answer breaks off

  Scenario: The failure of the last endpoint is forwarded unchanged
    Guards against a status that differs from the endpoint's own.
    Given a repeatable call
    When its endpoint answers 500
    And its endpoint answers 500
    Then the caller gets the endpoint's 500

  Scenario Outline: A failure answer is reported only if another endpoint succeeds
    Guards against the ejection of all endpoints of a service because of a request that fails at each of them.
    Given a repeatable call
    When its endpoint answers 500
    And its endpoint answers <second>
    Then <reported> endpoints are reported as failed

    Examples:
      | second | reported |
      | 500    | 0        |
      | 200    | 1        |

  Scenario: No retry without retry budget
    Guards against a storm of retries while a service fails.
    Given a repeatable call whose service has no retry budget left
    When its endpoint answers 500
    Then the caller gets the endpoint's 500

  Scenario: A silent engine is abandoned before its caller disconnects
    Guards against waiting for an engine that sends nothing until the caller has disconnected.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    Then it is sent to another engine and resumes after event 2

  Scenario: An engine whose answer is not read because its caller is slow
    Guards against a second engine that is asked, and a sound one that is left alone, because of a pause of our own.
    Given a resumable stream that has received 2 events
    When its caller takes no more of the answer
    And nothing is received for 3 seconds
    Then it stays at its engine for half a second
    When its caller takes more of the answer again
    Then it stays at its engine for half a second
    When nothing is received for 1 second
    Then it is sent to another engine and resumes after event 2

  Scenario Outline: An engine that pauses goes on answering when no other one takes its stream
    Guards against cutting off the answer of a sound engine that is silent for a second while all other engines are
    full: its caller got neither the rest of the answer nor a refusal.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And <others>
    Then it has not ended
    When the first engine sends events 3 and 4 and ends
    Then the caller gets events 1 to 4 once and the end

    Examples:
      | others                                |
      | the next 4 engines are full           |
      | nothing listens at the next 3 engines |
      | no other engine is left               |
      | the next engine breaks off            |
      | the next engine fails                 |
      | the next engine answers with a client error |

  Scenario Outline: An engine that pauses keeps the memory that is reserved for its stream
    Guards against cutting off a stream whose prompt is in the memory of several engines because one of them was silent
    for a second: its caller got neither the rest of the answer nor a refusal.
    Given a stream with reserved memory that has received 2 events
    When nothing is received for 1 second
    And <others>
    Then it has not ended
    And the memory of the first attempt is still reserved
    When the first engine sends events 3 and 4 and ends
    Then the caller gets events 1 to 4 once and the end
    And all memory is released once

    Examples:
      | others                                    |
      | the next engine is full and no other one is left |
      | the next 4 reservations are refused       |
      | no engine can be reserved                 |
      | the next reservation is not answered      |

  Scenario: Another engine goes on before the one that pauses with reserved memory
    Guards against memory that stays reserved at engines that no longer answer the request.
    Given a stream with reserved memory that has received 2 events
    When nothing is received for 1 second
    And the next reservation is granted
    And the next engine sends event 3
    Then the memory of the first attempt is released
    When the next engine sends event 4 and ends
    Then the caller gets events 1 to 4 once and the end
    And all memory is released once

  Scenario: Two engines pause one after the other
    Guards against cutting off the answer of a sound engine that is slow to begin, after an engine that is gone fell
    silent: the request waited for the one that was gone.
    Given a resumable stream at one of 3 engines that has received 2 events
    When nothing is received for 1 second
    And nothing is received for 2 seconds
    And the next 4 engines are full
    Then it has not ended
    When the second engine sends events 3 and 4 and ends
    Then the caller gets events 1 to 4 once and the end

  Scenario: An engine that pauses goes on before another one has begun
    Guards against events that come twice, and against an engine that works on a stream that another one answers.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And the first engine sends events 3 and 4 and ends
    Then the caller gets events 1 to 4 once and the end
    And both attempts are closed

  Scenario: An engine pauses twice
    Guards against a request that runs at more engines than its route allows: an attempt that was closed because an
    earlier one went on did not count.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And the first engine goes on with event 3
    And nothing is received for 1 second
    Then it was sent to 2 engines in all
    When the first engine goes on with event 4
    And the first engine ends
    Then the caller gets events 1 to 4 once and the end

  Scenario: Another engine goes on before the one that pauses
    Guards against events that come twice, and against an engine that works on a stream that another one answers.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And the next engine sends event 3
    Then the first attempt is closed
    When the next engine sends event 4 and ends
    Then the caller gets events 1 to 4 once and the end

  Scenario: An engine that pauses sends half an event
    Guards against a stream that waits for an engine without progress, and against joined parts of two answers.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And the first engine sends half of event 3
    And the next engine sends event 3
    And the next engine sends event 4 and ends
    Then the caller gets events 1 to 4 once and the end

  Scenario Outline: An engine that pauses ends without an answer
    Guards against a stream that waits for an engine that is gone.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And the first engine <end>
    Then the first attempt is closed
    When the next engine sends event 3
    And the next engine sends event 4 and ends
    Then the caller gets events 1 to 4 once and the end

    Examples:
      | end                       |
      | breaks off                |
      | sends event 7             |
      | ends within an event      |

  Scenario: A request that waits for a silent engine ends at its time limit
    Guards against a request that never ends.
    Given a resumable stream that has received 2 events
    When nothing is received for 1 second
    And the next 4 engines are full
    And nothing is received for 20 seconds
    Then it has ended once, with deadline_exceeded

  Scenario: An engine that pauses shortly before the time limit
    Guards against ending a request before its time limit because no time is left for another attempt.
    Given a resumable stream that has received 2 events
    When nothing is received until 0.03 seconds before its time limit
    Then it has not ended
    When the first engine sends events 3 and 4 and ends
    Then the caller gets events 1 to 4 once and the end

  Scenario: An engine that was silent before its answer began breaks off
    Guards against a stream that is cut off because a run of one engine counted as two, and the route allows two.
    Given a resumable stream without an answer
    When nothing is received for 2 seconds
    And the next 4 engines are full
    And the first engine sends events 1 and 2 and breaks off
    Then it is sent to an engine that was not asked before and resumes after event 2

  Scenario Outline: A silent endpoint says that it did not run the request
    Guards against a 502, after which callers do not retry what may run once only, for a request that no endpoint ran.
    Given a repeatable call
    When nothing is received for 1 second
    And <first>
    And <second>
    Then it is refused with overloaded

    Examples:
      | first                                        | second                                       |
      | the next 4 engines are full                  | its first endpoint says that it did not run it |
      | its first endpoint says that it did not run it | the next 4 engines are full                  |

  Scenario: A plain call whose silent endpoint answers after all
    Guards against a call that fails although its endpoint answers in time.
    Given a repeatable call
    When nothing is received for 1 second
    And the next 4 engines are full
    And its first endpoint answers 200
    Then the caller gets the complete answer

  Scenario: A plain call waits for its silent endpoint after another one refused its content
    Guards against a silent endpoint that counts as one that answered, and gets more work at once.
    Given a repeatable call
    When nothing is received for 1 second
    And the next engine answers with a client error
    Then no endpoint is reported as successful
    When its first endpoint answers 200
    Then the caller gets the complete answer

  Scenario: A silent engine is waited for when no other may be asked
    Occurs under: bursts of long prompts, whose prefill delays streams for seconds. Guards against cutting off an answer
    that is only late, and against ejecting engines that are only busy, which overloads the others.
    Given a resumable stream at the last engine that it may use
    When nothing is received for 2 seconds
    And the engine then sends event 1
    Then the event is forwarded and no endpoint is reported as failed

  Scenario: Dead endpoints are skipped one after the other
    Guards against refusing a request because many endpoints crashed together, although others work.
    Endpoint 7 is the seventh in the placement order.
    Given a repeatable call
    When nothing listens at 6 endpoints in turn
    Then it is sent to endpoint 7 in the order

  Scenario: A stream that breaks off late is resumed past dead engines
    Occurs under: a data centre's engines crash together while they decode long answers. Guards against a time limit
    for finding an endpoint that counts from the request's arrival, not from the break, so that the stream is given up
    at the first engine that does not listen. Endpoint 4 is the fourth in the placement order.
    Given a resumable stream that has received 2 events
    When its engine's answer breaks off after 3 seconds and the next 2 do not listen
    Then it is sent to endpoint 4 in the order
    And it resumes after event 2

  Scenario: An instance that reaches no endpoint refuses early
    Guards against a request that is held at an instance which is cut off from all endpoints.
    Given a repeatable call
    When 3 connections in turn time out after 0.45 seconds
    Then it is refused with overloaded

  Scenario: The time limit ends a request
    Guards against requests that are held past their route's limit.
    Given a request that may run only once
    When nothing is received for 11 seconds
    Then it ends with deadline_exceeded

  Scenario: A refused reservation is released and other engines are asked
    Guards against memory that stays reserved when one engine refuses its share of a prompt split over several engines.
    Given a stream that needs reserved memory
    When its reservation is refused
    Then all of its memory is released and other engines are asked

  Scenario: A reservation that is granted after the deadline
    Guards against an attempt for a caller whose time is over, because the answer is handled before the time limit.
    Given a stream that needs reserved memory
    When its reservation is granted after its deadline
    Then the request ends without having been sent
    And all memory is released once

  Scenario: An engine that got a request is not asked again after a refused reservation
    Guards against a request that runs twice at the same engine, where its second attempt may also get an answer that
    the engine sends to the first.
    Given a stream with reserved memory that has received 2 events
    When nothing is received for 1 second
    And its reservation is refused
    Then other engines are asked than the first

  Scenario Outline: A plain call whose silent endpoint ends its answer with the connection
    Guards against discarding a complete answer because the answers of another endpoint came in between.
    Given a repeatable call
    When nothing is received for 1 second
    And <others>
    And its first endpoint answers 200 and ends the answer with the connection
    Then the caller gets the complete answer

    Examples:
      | others                        |
      | no other engine has answered  |
      | the next 3 engines are full   |

  Scenario Outline: An endpoint refuses the content of a plain call while another one is silent
    Guards against a failure in place of an answer that an endpoint gave, because another endpoint never goes on.
    Given a repeatable call
    When nothing is received for 1 second
    And <answer>
    And <end>
    Then the caller gets the refusal of its content

    Examples:
      | answer                                    | end                                 |
      | the second endpoint refuses its content   | nothing is received for 20 seconds  |
      | the second endpoint refuses its content   | the first engine breaks off         |
      | its first endpoint refuses its content    | nothing is received for 20 seconds  |
      | its first endpoint refuses its content    | the next 4 engines are full         |

  Scenario: The time limit of a connection passes in the same turn as that of its attempt
    Guards against a 502, after which callers do not retry what may run once only, for a request that no endpoint got.
    Given a repeatable call
    When nothing is received for 1 second
    And its first endpoint turns out to be unreachable
    And the next 4 engines are full
    Then it is refused with overloaded

  Scenario: An engine breaks off long after a pause in which all others were full
    Guards against a stream that is cut off at the first full engine because others were full at an earlier pause.
    Given a resumable stream at one of 3 engines that has received 2 events
    When nothing is received for 1 second
    And the next 4 engines are full
    And the first engine goes on with event 3
    And the first engine breaks off
    And the next engine is full, and more are left
    Then the stream is sent to another engine

  Scenario: All endpoints are full shortly before the time limit
    Guards against a 504, after which callers do not retry what may run once only, for a request that no endpoint ran.
    Given a request that may run only once
    When an endpoint says that it did not run it 0.03 seconds before its time limit
    Then it is refused with deadline_unreachable

  Scenario: Many streams fall silent at once
    Guards against more retries than the budget allows.
    Given 20 resumable streams at a service with a retry budget of 4
    When all of them fall silent at once
    Then 4 of them are sent again

  Scenario Outline: Many streams fall silent at once, and wait before they are sent again
    Guards against more retries than the budget allows: each stream found budget left before the others were sent.
    Given 20 resumable streams at a service with a retry budget of 4
    When all of them fall silent at once and wait for <what>
    Then 4 of them are sent again

    Examples:
      | what            |
      | reserved memory |
      | permits         |
