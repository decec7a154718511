Feature: Requests whose prompts crash engines
  Guards against requests with one part of their prompts in common that crash engine after engine, and against sound
  requests that are refused with them.

  Scenario: A request with a quarantined part is refused before anything is sent
    Guards against one more engine that crashes, and against a refusal that is given for a request that ran.
    Given a relay whose router has part p in quarantine for 60 seconds
    Then a request with the shared parts a and p is refused as prompt_quarantined for 60 seconds
    And a request with the shared part a is sent
    And a request with the shared parts a and p is sent after 60 seconds

  Scenario: A quarantine of several parts refuses requests with all of them
    Guards against refusing sound prompts with a part that isn't told apart from a deadly one.
    Given a relay whose router has part p beside a in quarantine for 60 seconds
    Then a request with the shared parts a and p is refused as prompt_quarantined for 60 seconds
    And a request with the shared part a is sent
    And a request with the shared part p is sent
    When its router is told of p in quarantine alone
    Then a request with the shared part p is refused

  Scenario Outline: A quarantine ends the requests that have not begun
    Guards against crashes by requests that wait while the decision is made, and against the loss of sound answers.
    Given a request that <state>
    When its prompt is quarantined
    Then it <end>

    Examples:
      | state                               | end                               |
      | waits for reserved memory           | is refused with prompt_quarantined |
      | was sent and has no answer          | ends with endpoint_lost           |
      | has the head of its answer          | ends with endpoint_lost           |
      | has received 1 event                | goes on                           |
      | is to be sent again after one break | ends with endpoint_lost           |

  Scenario Outline: A complete stream reports a success with its parts only after an event
    Guards against an empty answer of an engine that crashes, which would clear the part that crashed it.
    Given a stream with shared parts that has received <events> events on an attempt
    When its answer ends
    Then <reports> successes with its parts are reported

    Examples:
      | events | reports |
      | 0      | 0       |
      | 1      | 1       |
      | 2      | 1       |

  Scenario Outline: Each attempt reports how its engine took the prompt
    Guards against evidence from answers that had begun, and against successes that are not reported.
    Given a stream with shared parts that has received <events> events on an attempt
    When its <end>
    Then <reports> successes with its parts are reported, and the failure has <events> events

    Examples:
      | events | end                   | reports |
      | 0      | connection breaks off | 0       |
      | 1      | connection breaks off | 0       |
      | 2      | connection breaks off | 1       |
      | 9      | connection breaks off | 1       |

  Scenario: Instances share what they see
    Guards against a part that crashes three engines at three instances, each of which sees one crash, and against a
    decision that one instance keeps for itself.
    Given three instances that exchange messages
    When attempts with the shared parts a and p break off at three engines, one seen by each instance
    Then within 0.6 seconds all three have p in quarantine and none has a
    And an instance that starts then is told of p

  Scenario: A success anywhere ends a suspicion everywhere
    Guards against a sound first part that is refused because one instance saw only its failures.
    Given three instances that exchange messages
    When attempts with the shared part a break off at three engines, and another instance has just had an answer with a
    Then within 0.6 seconds none has a in quarantine
    When attempts with the shared part a break off at three engines, and an answer with a comes after the quarantine
    Then within 0.6 seconds none has a in quarantine

  Scenario: An earlier answer at another instance tells a deadly part from those beside it
    Guards against the quarantine of a part of a caller whose last batch of prompts was answered by other instances.
    Given three instances that exchange messages
    When an answer with the shared parts a and z comes at b1
    And 3.2 seconds later attempts with the shared parts a, p and z break off at three engines at a0
    Then within 0.6 seconds all three refuse prompts with p
    And none of them refuses prompts with a and z
    When an instance starts, and attempts with the shared parts a, q and z break off at three engines at it
    Then within 0.6 seconds all of them refuse prompts with q
    And none of them refuses prompts with a and z

  Scenario: An answer tells the parts of a quarantine apart at all instances
    Guards against instances that differ on the parts of a quarantine, and against one that goes on refusing a sound part.
    Given three instances that exchange messages
    When attempts with the shared parts a and p break off at three engines at a0
    Then within 0.6 seconds all three refuse prompts with a and p
    And none of them refuses prompts with p
    When an answer with the shared part a comes at c2
    Then within 0.2 seconds all three refuse prompts with p
    And none of them refuses prompts with a

  Scenario: An instance that was cut off is told of a quarantine
    Guards against two more engines that crash at each instance that missed the messages on a part.
    Given three instances that exchange messages
    And c2 is cut off from the others
    When attempts with the shared parts a and p break off at three engines at a0
    Then within 0.6 seconds a0 and b1 have p in quarantine, and c2 has not
    When c2 is reached again, and was not missed
    And one more attempt with the shared parts a and p breaks off at c2
    Then within 0.2 seconds all three have p in quarantine and none has a

  Scenario: An instance that seemed dead is told of a quarantine on its return
    Guards against an instance that is told once, while it cannot be reached, and never again.
    Given three instances that exchange messages
    And c2 is cut off from the others and seems dead
    When attempts with the shared parts a and p break off at three engines at a0
    Then within 0.6 seconds a0 and b1 have p in quarantine, and c2 has not
    When c2 is reached again, and seems alive
    Then within 0.2 seconds all three have p in quarantine and none has a

  Scenario: A quarantine against later answers is contradicted
    Guards against one instance that refuses sound requests for a minute because the others do not answer its decision.
    Given three instances that exchange messages
    And c2 is cut off from the others
    When attempts with the shared part a break off at three engines at c2
    Then within 0.6 seconds c2 alone has a in quarantine
    When an answer with a begins at b1, and c2 is reached again and tells its quarantine
    Then within 0.6 seconds none has a in quarantine

  Scenario: Malformed notes on quarantines are ignored
    Guards against a message that ends a process or refuses all requests.
    Given three instances that exchange messages
    When a peer sends notes without a part, with a part of 200 characters, and with times out of range
    Then within 0.1 seconds all three have only the one valid part in quarantine
