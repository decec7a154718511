@fleet
Feature: Prompt parts that crash engines
  Guards against requests that share a prompt part and crash engine after engine. The fleet is three instances, the store,
  six engines and two plain endpoints as processes. A crashed engine is back after 1 second with a new id.

  Scenario: A prompt part that crashes engines is kept from them
    Guards against a part that goes on to crash engines after five crashes, and against the refusal of sound requests
    that share the caller and the first part with it.
    Given a relay fleet of six engines
    When sound streams and streams with one deadly part come until 8 seconds after the fifth crash
    Then at most 3 requests with a deadly part reach engines later than 3 seconds after its fifth crash
    And each other one that is sent later gets a complete 503 and never runs
    And from 6 seconds after it sound streams are served at least half as often as before the first crash
    And no log of an instance has an error of the program itself

  Scenario Outline: A deadly part with a long id behind many others is kept from engines
    Guards against a deadly part that is never found because of its place in the prompt or of the length of its id.
    Given a relay fleet of six engines
    When sound streams and streams with a deadly part behind <count> others come until 8 seconds after the fifth crash
    Then at most 3 requests with a deadly part reach engines later than 3 seconds after its fifth crash
    And each other one that is sent later gets a complete 503 and never runs
    And from 6 seconds after it sound streams are served at least half as often as before the first crash

    Examples:
      | count |
      | 70    |
      | 1200  |

  Scenario: A caller's batches are served while a deadly part stands between parts that all its prompts have
    Guards against the quarantine of a sound part that the deadly prompts share with all prompts of their caller.
    Given a relay fleet of six engines
    When a batch of 24 sound streams comes, and 4 seconds later streams with a deadly part among their parts
    And 8 seconds after the fifth crash a batch of 24 sound streams comes
    Then at most 3 requests with a deadly part reach engines later than 3 seconds after its fifth crash
    And all streams of both batches are served
    And no log of an instance has an error of the program itself

  Scenario: Two deadly parts at a time beside crashes of other causes
    Guards against a sound part that is blamed for the crashes of another part or of the engines themselves.
    Given a relay fleet of six engines
    When sound streams and streams with two deadly parts come while engines also crash for reasons of their own
    Then at most 3 requests with a deadly part reach engines later than 3 seconds after its fifth crash
    And each other one that is sent later gets a complete 503 and never runs
    And from 6 seconds after it sound streams are served at least half as often as before the first crash
    And from 6 seconds after it no sound stream is refused

  Scenario: An instance that restarts without the store keeps a deadly part from engines
    Guards against an instance that learns of a deadly part only by further crashes after its restart.
    Given a relay fleet of six engines
    When sound streams and streams with one deadly part come until 3 seconds after the fifth crash
    And the store refuses every call
    And an instance is killed and started again
    Then 3 seconds after its start it refuses streams with the deadly part, and serves sound ones

  Scenario: Instances that all restart at once keep a deadly part from engines
    Guards against the loss of what is known of deadly parts when no instance is left that knows it.
    Given a relay fleet of six engines
    When sound streams and streams with one deadly part come until 3 seconds after the fifth crash
    And all instances are killed and started again
    Then 3 seconds after its start it refuses streams with the deadly part, and serves sound ones

  Scenario: Answers that end with their connection
    Guards against an answer without a length or chunks that is not passed on, and against one that is shown as complete
    although it ended inside an event or its connection was reset.
    Given a relay fleet of six engines
    Then a stream that ends with its connection arrives complete through each instance
    And a plain answer that ends with its connection arrives complete through each instance
    And a stream that ends inside an event is resumed at another engine
    And a stream that ends inside an event at all engines is not complete
    And a stream that is reset at all engines is not complete
    And a plain answer that is reset at all endpoints is not complete
