Feature: Placement by learned costs
  Guards against requests that wait at a slow or full endpoint while another one would answer them earlier, and against
  estimates that hold on to what is no longer true. All scenarios run in virtual time, with the same seeds for each policy.

  Scenario Outline: Learned costs make callers wait less than the other policies
    Guards against a policy that learns and gains nothing. Load: endpoints of differing speed, and requests of which one
    in 40 takes 8 times as long as the mean.
    When <per_s> <kind> of <mean> seconds a second go to <endpoints> endpoints, a third of them 4 times slower, for 3 seeds
    Then the 95th percentile of callers' waits with learned is below that with packed, fewest_outstanding and random

    Examples:
      | kind    | per_s | mean | endpoints |
      | streams | 18    | 1.0  | 6         |
      | streams | 26    | 1.0  | 6         |
      | calls   | 60    | 0.05 | 3         |
      | calls   | 150   | 0.05 | 3         |

  Scenario Outline: Endpoints of one speed are used as well as without learning
    Guards against estimates that take chance for a difference between endpoints. Load: the same without slow endpoints,
    up to the 70% of capacity that the design's targets name.
    When <per_s> <kind> of <mean> seconds a second go to 6 endpoints, none of them slower, for 3 seeds
    Then the 95th percentile of callers' waits with learned is at most 1.1 times that with packed

    Examples:
      | kind    | per_s | mean |
      | streams | 18    | 1.0  |
      | streams | 34    | 1.0  |
      | calls   | 150   | 0.05 |

  Scenario Outline: A slow endpoint is avoided, and tried again when it may have recovered
    Guards against an endpoint that is left out for good, and against requests that go on to it while it is slow.
    Load: an endpoint that is 4 times slower for 20 seconds.
    Given 3 endpoints for <kind>
    When the first one is 4 times slower for 20 seconds under <per_s> <kind> of <mean> seconds a second
    Then it got less than half of an even share in the last 10 of these seconds
    And it gets at least half of an even share from 10 to 20 seconds after it has recovered

    Examples:
      | kind    | per_s | mean |
      | streams | 14    | 1.0  |
      | calls   | 60    | 0.05 |

  Scenario: A new endpoint starts from the estimate of its service
    Guards against a new endpoint, or one that restarted under its id, that is taken for slow or for faster than others.
    Given 3 endpoints for calls
    When the first one is 4 times slower for 20 seconds under 60 calls of 0.05 seconds a second
    And the first one restarts under its id
    Then its pace is 1, and a call is expected to take as long there as at the others

  Scenario Outline: A wildly wrong estimate refuses nobody and is forgotten
    Guards against one absurd observation that keeps an endpoint, or all of them, from being used. Load: clocks that jump,
    answers that were held up elsewhere.
    Given 3 endpoints for <kind>
    And <count> observations of <seconds> seconds at each of <endpoints> endpoints
    When 80 <kind> of 0.2 seconds a second are sent for 40 seconds
    Then nobody is refused
    And each endpoint gets a request in the last 10 seconds, and no pace is above 1.5

    Examples:
      | kind    | count | seconds | endpoints |
      | streams | 50    | 1e9     | 1         |
      | streams | 50    | 1e9     | 3         |
      | streams | 50    | 0       | 1         |
      | calls   | 50    | 1e9     | 1         |
      | calls   | 50    | 1e9     | 3         |

  Scenario Outline: An endpoint that lies about its load harms the others little
    Guards against a report that draws all requests to one endpoint, or that takes all endpoints away. Load: reports that
    are false in either direction.
    Given 3 endpoints for <kind>
    And <liars> of them say that <running> requests run and <waiting> wait
    When <per_s> <kind> of 0.2 seconds a second are sent for 30 seconds
    Then nobody is refused
    And the 95th percentile of callers' waits is at most 1.25 times that without the lie

    Examples:
      | kind    | liars | running              | waiting              | per_s |
      | streams | 1     | 0                    | 0                    | 20    |
      | streams | 1     | 900000000000000000   | 900000000000000000   | 20    |
      | streams | 3     | 900000000000000000   | 900000000000000000   | 20    |
      | calls   | 1     | 0                    | 0                    | 20    |
      | calls   | 1     | 900000000000000000   | 900000000000000000   | 20    |
      | calls   | 3     | 900000000000000000   | 900000000000000000   | 20    |

  Scenario: Requests of other instances are seen in reports when their updates don't come
    Guards against requests that queue at an engine which others have filled, while the link that carries their updates is
    cut. Load: another instance fills the first engine.
    Given 3 endpoints for streams, and no update of other instances
    When another instance keeps the first endpoint full for 10 seconds, beside 4 streams of 0.2 seconds a second
    Then at most a third of the streams of the last 5 seconds went to it
    And it gets a stream within 5 seconds after the others have ended

  Scenario: Work that is left decides between full endpoints
    Guards against a call that waits behind a long one because another endpoint has as many calls. Load: long-tailed calls
    at endpoints without a free slot.
    Given 2 endpoints for calls with 2 slots, all taken
    When the calls at the first are expected to end in 1.0 seconds and those at the second in 0.1 seconds
    Then the next call goes to the second

  Scenario: Overdue calls count as going on for a while
    Guards against a full endpoint that looks free since its calls should have ended: a call that is overdue is one of the
    long ones. Load: long-tailed calls.
    Given 2 endpoints for calls with 2 slots, all taken
    And calls of 0.05 seconds, of which some took 0.8 seconds
    When the calls at the first are expected to end in -0.2 seconds and those at the second in 0.02 seconds
    Then the next call goes to the second

  Scenario: Cold engines of the own cell come before unknown ones of other cells
    Guards against a burst that leaves a cell whose engines are cold, and piles up at engines whose load is not known.
    Load: all engines of a data centre return cold during a burst.
    Given 6 engines of the own cell that are cold, and 6 of another cell that reported 16 requests each
    When 12 shorts are placed, at most 2 a second on each engine
    Then none leaves the own cell

  Scenario: Cold engines of another cell are used when the own cell is full
    Guards against a queue at warm engines while cold ones, which may get more, are half empty. Load: all engines of one
    data centre return cold during a burst.
    Given 2 full engines of the own cell, and 6 of another cell that are cold
    When 20 shorts are placed, each ends before the next one
    Then none of them waits for a slot

  Scenario: Engines of other cells are chosen by what they reported
    Guards against requests that leave a full cell for engines that are full too. Load: a burst at one data centre.
    Given 2 full engines of the own cell, and 6 of another cell of which 5 reported 8 requests each
    When 1000 shorts are placed, each ends before the next one
    Then the free engine gets at least 500 of them

  Scenario: The expected length of an answer follows hints and what was seen
    Guards against answers that count as their maximum. Load: answers that are a third of their maximum.
    Given a route whose answers had 33 events of 82 allowed, 40 times
    Then an answer with 82 allowed events is expected to have 33, within 3
    And an hour later it is expected to have 82

  Scenario: Work updates of other policies do not change
    Guards against instances of an earlier version that can't read an update, and against longer messages where nothing is
    learned.
    Then an update without an expected end has the same fields as before
    And an update with one is read by an earlier version, and one of an earlier version is read here

  Scenario: An instance learns from the answers that it passes on
    Guards against a policy whose estimates nobody feeds.
    Given an instance with placement learned and one engine
    When a stream of 2 events is answered, and the engine reports 4 running requests
    Then the update on it told when its answer should end
    And the engine is expected to have 2 requests that no update told of
    And answers of its route are expected to be shorter than their maximum, and one answer's time is known

  Scenario: An instance without learning learns nothing
    Guards against other work and other messages at deployments that did not ask for it.
    Given an instance with placement packed and one engine
    When a stream of 2 events is answered, and the engine reports 4 running requests
    Then the update on it did not tell when its answer should end

  Scenario: A silent engine counts as late
    Guards against a slow engine that is never taken for slow, since its requests are sent elsewhere before they have an
    event.
    Given an instance with placement learned and two engines
    When the first engine is silent for too long with 3 streams in a row
    Then the first engine is slower than the other one

  Scenario: A prompt is placed elsewhere when an engine refuses memory for it
    Guards against four reservations in a row at an engine that holds requests of other cells, after which the prompt is
    refused although other engines have room. Load: prompts beyond one engine's memory.
    Given an instance with placement learned and eight engines
    When a stream of 400000 tokens is sent and each engine that is asked for all its memory refuses
    Then the second attempt asks no engine that refused
    And 4 seconds later an engine that refused may be asked again

  Scenario: Callers' hints are read
    Guards against a hint that breaks a request. Load: callers that send anything.
    Then Length-Hint is read as follows
      | header                | tokens |
      | 120                   | 120    |
      |                       | 0      |
      | -5                    | 0      |
      | 1e9                   | 0      |
      | 99999999999999999999  | 0      |

  Scenario: What is learned is bounded
    Guards against memory that grows with every endpoint that ever was. Load: endpoints that are replaced all the time.
    When 5000 lifetimes of endpoints are observed
    Then estimates of at most 1024 are kept
