@fleet
Feature: A planned stop of a loaded instance
  Guards against requests that are accepted while an instance stops and then cut off. The fleet is three instances, the
  store and five endpoints as processes.

  Scenario: Requests accepted during a planned stop are answered in full
    Guards against an answer that is cut in the middle because the instance accepted its request too late to finish it.
    Given a relay fleet whose longest answers take 4.7 seconds
    When an instance gets SIGTERM and new requests come until it has ended
    Then each request got a complete answer, a refusal without a run, or no connection
    And the instance exits with 0 within its grace time

  Scenario Outline: Charges that come during a planned stop
    Guards against a charge that runs and whose caller gets nothing or is told that it did not run, and one that runs twice.
    Given <fleet>
    When an instance gets SIGTERM and new charges come until it has ended
    Then each charge got a complete answer that tells whether it ran, or no connection
    And the instance exits with 0 within its grace time

    Examples:
      | fleet                                                        |
      | a relay fleet                                                |
      | a relay fleet whose plain endpoints pause before they answer |

  Scenario: Requests that do not end before the process get a final answer
    Guards against a whole request that gets neither an answer nor a refusal when the instance ends.
    Given a relay fleet whose engines accept requests and send nothing
    When an instance gets SIGTERM while a stream, a lookup and a charge wait for their answers
    Then each of them gets a complete failure that does not say that it was not run
    And the instance exits with 0 within its grace time

  Scenario: A planned stop waits until an answer has been sent
    Guards against the loss of the end of an answer whose caller reads more slowly than the endpoint sends.
    Given a relay fleet
    When an instance gets SIGTERM while a caller has read only the head of a large answer
    Then the caller still gets the whole answer
    And the instance exits with 0 within its grace time

  Scenario: No request is left without an answer when an instance ends
    Guards against requests that an instance reads in its last moments and drops when it closes their connections.
    Given a relay fleet
    When each of 5 planned stops gets requests on new and on kept connections until its process has ended
    Then each request got an answer, a reset or no connection

  Scenario: A request that is received in part when an instance ends gets an answer
    Guards against a request whose last bytes come after the instance has stopped accepting connections and that is dropped.
    Given a relay fleet
    When the last part of a request is sent as soon as a stopping instance refuses connections
    Then the instance refuses the request as one that it did not run

  Scenario: SIGHUP does not end an instance that is starting
    Guards against requests that are lost because a reload meets a process before it handles the signal.
    Then a process that gets SIGHUP before the daemon is imported goes on

  Scenario Outline: A stopped daemon is gone as soon as it has nothing left to do
    Guards against a process that is killed after its last answer, while the interpreter frees each object on a busy machine.
    Given the daemon of the <product> is started so that its log shows what the interpreter still runs
    When it gets SIGTERM and has exited with 0
    Then its log shows "daemon_ended" and "exit functions", but not "objects freed"

    Examples:
      | product           |
      | users' platform   |
      | product interface |

  Scenario: A planned stop uses the grace time of the newest settings
    Guards against a process that is killed with requests in flight because the grace time was shortened after its start.
    Given a relay fleet whose engines accept requests and send nothing
    When the settings of an instance change to a grace time of 4 seconds
    And an instance gets SIGTERM while a stream, a lookup and a charge wait for their answers
    Then each of them gets a complete failure that does not say that it was not run
    And the instance exits with 0 within 4 seconds

  Scenario Outline: A planned stop keeps a short grace time
    Guards against a process that is killed before its requests have their final answers because a phase has a fixed minimum.
    Given a relay fleet whose engines accept requests and send nothing
    When the settings of an instance change to a grace time of <grace> seconds
    And an instance gets SIGTERM while a stream, a lookup and a charge wait for their answers
    Then each of them gets a complete failure that does not say that it was not run
    And the instance exits with 0 within <grace> seconds

    Examples:
      | grace |
      | 1     |
      | 2     |
