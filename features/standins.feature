Feature: Stand-ins for the external systems
  Guards against stand-ins that fail less than the real systems and so hide faults of the daemon.

  Scenario: Of two writes that expect the same version one takes effect
    Guards against a table that loses an update, which would let two holders share a lease.
    Given stand-ins of the platform and a plain service run
    When two writers write the row "lease/x" and both expect version 0
    Then one has version 1 and the other gets a conflict with the winner's row

  Scenario: A write whose answer is lost has taken effect
    Guards against a stand-in that drops such a write, so that no test exercises reading back by token.
    Given stand-ins of the platform and a plain service run
    And the table stand-in has the fault "lose_answers"
    When "mine" is written to the row "lease/x" expecting version 0
    Then the writer has no answer
    And the row "lease/x" holds "mine" at version 1

  Scenario: A refused write has no effect
    Guards against a 503 after the write took effect, which would make "not run" answers wrong.
    Given stand-ins of the platform and a plain service run
    And the table stand-in has the fault "refuse"
    When "mine" is written to the row "lease/x" expecting version 0
    Then the writer gets status 503
    And the row "lease/x" is absent after the fault ends

  Scenario: A slow write takes effect after its writer has given up
    Guards against a stand-in that drops the write when its connection closes, so that no write takes effect late.
    Given stand-ins of the platform and a plain service run
    And the table stand-in has the fault "slow"
    When "mine" is written to the row "lease/x" expecting version 0
    Then the writer has no answer
    And the row "lease/x" holds "mine" at version 1 within 2 s

  Scenario: A slow read answers with an older row
    Guards against a stand-in that reads the row only when it answers, so that no instance ever gets an outdated row.
    Given stand-ins of the platform and a plain service run
    And "old" was written to the row "lease/x"
    And the table stand-in has the fault "slow"
    When "new" is written to the row "lease/x" during a read
    Then the read shows "old"

  Scenario: The instance list shows a change late
    Guards against a list without lag, which would hide requests that are routed to leaving endpoints.
    Given stand-ins of the platform and a plain service run
    When the endpoint "postings-0" starts to leave
    Then the list shows it as "live" at once and as "leaving" within 3 s

  Scenario: A plain service that loses its answer has run the call
    Guards against a fault that strikes before the execution, which could not reveal a call that ran twice.
    Given stand-ins of the platform and a plain service run
    When the plain service loses its answer to the key "fee-1"
    Then the key "fee-1" was run 1 time
    And a repeat of the key "fee-1" raises the count to 2

  Scenario: A resumed stream has the same text
    Guards against answers that depend on the attempt: a check of a caller's bytes could not tell them from a mix of two answers.
    Given stand-ins of the platform and an engine run
    When a stream of 30 tokens is read to its token 10 and resumed there
    Then both parts together are the expected answer

  Scenario: A frozen connection sends nothing while new ones work
    Guards against a freeze that closes the connection, which the daemon would notice without its silence timeout.
    Given stand-ins of the platform and an engine run
    When a stream's connection is frozen in the middle
    Then it delivers no byte for 1 s and stays open
    And a new connection resumes the stream to its end

  Scenario: A restarted engine has a new start id and none of its streams
    Guards against connections that survive a restart, on which work would reach the wrong incarnation.
    Given stand-ins of the platform and an engine run
    When the engine restarts with a stream open
    Then the stream's connection ends early
    And the engine is cold, with a new start id, and does not know the stream

  Scenario: A cold engine crashes when its cold limit is exceeded
    Guards against a model that queues the excess, so that exceeding the cold limit has no consequence.
    Given an engine model in cold start with a limit of 2 requests
    When 3 streams start at once
    Then the third crashes the engine, which restarts cold and without streams
    And its record shows 3 requests in flight while cold

  Scenario: An engine that turns cold without warning keeps its streams
    Guards against a crash over work from before the engine turned cold, which no coordinator can avoid.
    Given a warm engine model with 4 streams
    When it turns cold without warning
    Then its start id is the same, its cold count has grown and 4 streams continue

  Scenario: Cold steps are slower
    Guards against a cold start that does not show in any latency.
    Then a cold model takes longer to a first token than a warm one

  Scenario: Group memory is reserved until it is freed
    Guards against members that drop their reservation by themselves, which would hide leaked memory.
    Given a warm engine model with 1000 tokens of memory
    When a group holds 800 tokens
    Then another group of 300 tokens is refused
    And a stream that needs 300 tokens waits
    And the report shows the group with its owner
    And the stream runs once the group is freed, and freeing it again changes nothing

  Scenario: A stream with members uses an equal share of the memory
    Guards against a leader that needs memory for the full prompt, which no engine has.
    Then of a prompt of 900 tokens with 2 members the leader holds a third

  Scenario: The load report lags
    Guards against reports that are always current, with which no instance would overload an engine.
    Given a warm engine model with 4 streams
    Then a report after 0.5 s shows none of them and one after 2 s shows 4

  Scenario Outline: Fencing is checked only by engines that check it
    Guards against having one kind of engine only, which would leave half of the rules untested.
    Given an engine model that <checks> fencing, fenced at 5
    When a stream with epoch 4 starts
    Then the engine model answers "<answer>"

    Examples:
      | checks  | answer      |
      | checks  | stale_epoch |
      | ignores |             |

  Scenario: Fencing refuses another incarnation
    Guards against running work that was sent for an earlier incarnation of an engine.
    Given an engine model that checks fencing, fenced at 5
    When a stream for another start id starts with epoch 5
    Then the engine model answers "wrong_incarnation"

  Scenario: A cancellation frees memory, and a second one does nothing
    Guards against orphaned streams whose memory is never freed.
    Given a warm engine model with 4 streams
    When each is cancelled twice
    Then no memory is held and 4 cancels are counted

  Scenario: A stream that nobody reads ends after a minute
    Guards against an engine that cleans up at once, which hides a daemon that does not cancel, or that never cleans up.
    Given a warm engine model with 1 stream that never ends
    Then it still runs after 59 s without a reader and not after 62 s

  Scenario: A prompt of higher priority is prefilled first
    Guards against a queue in order of arrival, with which priorities would have no effect.
    Given a warm engine model
    When a long prompt of priority 1 starts and a short one of priority 0 follows
    Then the short one has its first token before the long one

  Scenario: A cached prefix shortens the prefill, and its events come late and with gaps
    Guards against exact cache events, which would hide a daemon that relies on them.
    Given a warm engine model
    Then the second prompt with a common prefix has its first token sooner
    And cache events come after their lag, without each seventh

  Scenario: An exported stream continues on another engine
    Guards against a transfer that generates the answer from its start again.
    Given a warm engine model with 4 streams
    When one is exported and imported by another engine
    Then its answer goes on there from its position without a prefill

  Scenario: The load tool's checks find each kind of fault
    Guards against a check that passes whatever the records show.
    Then a key that ran twice, one that was answered and did not run and one that ran "not run" are found
    And an overrun, a wrong answer and one without an end are found

  Scenario: A failed run leaves no process behind
    Guards against daemons and stand-ins that outlive an aborted run.
    When the body of a run raises an error with a paused process
    Then none of the run's processes is left

  Scenario: A load plan depends only on its seed
    Guards against comparing two runs that did not get the same requests.
    Then two plans with one seed send the same, with one long prompt in fifty
    And without longs the other prompts and all times are the same
    And a prompt has the length of its plan and shares its workspace's prefix

  Scenario: Rows are read in pages, and an object is removed
    Guards against a page that skips or repeats rows, so that a sweep misses some of them.
    Given stand-ins of the platform and a plain service run
    When 5 rows are written and read in pages of 2
    Then each row is in one page, in order of key
    And an object that is written and removed twice is absent

  Scenario: An endpoint that crashes completes no answer
    Guards against a stand-in that completes an empty answer on a connection that it accepted while it crashed, so that a
    prompt that crashes endpoints looks sound.
    Given an endpoint that crashes on one prompt part and restarts after 0.1 seconds
    When requests with that part come on new connections until it has crashed at least 20 times
    Then none of them got a complete answer
