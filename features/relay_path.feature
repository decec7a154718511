@fleet
Feature: The whole path on the users' platform
  Guards against a path that is broken anywhere between callers, instances, the store and endpoints: three
  instances, the store and five endpoints as processes.

  Scenario: Streams, calls and refusals
    Guards against answers that are changed, held back, or given to a caller without a key or a route.
    Given a relay fleet
    Then a stream comes whole and unchanged through each instance
    And a plain answer comes with the endpoint's stamp through each instance
    And a request without a key is told 401, one without a route 404
    And a body over the limit is told 413
    And each instance names all three to callers
    And each request's course stands in the log
    And no log of an instance has an error of the program

  Scenario: Endpoints that fail
    Guards against a charge that runs twice, a lookup that fails though another endpoint could answer, and a stream
    with a hole.
    Given a relay fleet
    Then a lookup whose endpoint resets is answered by the other one
    And a charge whose endpoint resets ends as 502 and ran once
    And a charge that all endpoints reject is told 503 and ran never
    And a stream that breaks off is continued at another engine
    And an answer to another request is passed over

  Scenario: What the operator changes is in force within two seconds
    Guards against revoked keys, moved routes, leaving endpoints and evacuated data centres that go on.
    Given a relay fleet
    Then a revoked key is refused everywhere within 2 seconds
    And a configuration that cannot be read changes nothing
    And a leaving endpoint gets nothing after 2 seconds
    And a data centre that is evacuated gets nothing after 2 seconds, and work again when taken back

  Scenario: The store is away
    Guards against requests that fail because of the store, and against facts that reach one instance only.
    Given a relay fleet
    When the store refuses everything
    Then requests are served as before
    And a change that only one instance can read reaches the others
    And an instance that restarts learns all from the others

  Scenario: Instances come and go
    Guards against requests cut off by a planned stop, callers sent to a dead instance, and a reload that ends it.
    Given a relay fleet
    When an instance is told to stop while a stream runs
    Then the stream comes whole, no other instance names it after 2 seconds, and it ends with 0
    And a killed instance is no longer named after 6 seconds
    And an instance that gets SIGHUP goes on

  Scenario: A caller that leaves
    Guards against engines that work for nobody.
    Given a relay fleet
    When a caller leaves in the middle of a stream
    Then its engine's work is cut off within half a second
