Feature: Memory for requests that are not whole
  Guards against a crowd that fills the memory for requests, keeps others out, or gets a refusal for what already runs.
  The limit is 1000 kB, with a reserve of 250 kB for requests up to 64 kB.

  Scenario: The oldest incomplete request makes room
    Guards against callers that are refused because earlier clients never end their requests.
    Given incomplete requests of 400, 400 and 100 kB
    When a request of 300 kB comes whole
    Then the requests 1 are refused

  Scenario: As many as needed make room
    Guards against a limit that is passed when requests of several sizes are held.
    Given incomplete requests of 200, 200, 200 and 300 kB
    When a request of 600 kB comes whole
    Then the requests 1, 2, 3 are refused

  Scenario: Small requests are spared
    Guards against the refusal of ordinary requests whose end would free nothing.
    Given incomplete requests of 1, 1, 500 and 490 kB
    When a request of 300 kB comes whole
    Then the requests 3 are refused

  Scenario: Requests that are being answered are not refused
    Guards against a refusal that says "not run" of a request that runs.
    Given whole requests of 500 and 500 kB
    When a request of 300 kB comes whole
    Then only the newest request is refused

  Scenario: Small requests use the reserve
    Guards against ordinary requests that wait for large ones to be answered.
    Given whole requests of 500 and 500 kB
    When a request of 20 kB comes whole
    Then no request is refused

  Scenario: A request that grows keeps its place
    Guards against clients that stay the youngest by sending a byte now and then.
    Given incomplete requests of 400 and 500 kB
    When the request 1 grows to 450 kB
    And a request of 200 kB comes whole
    Then the requests 1 are refused

  Scenario: Requests that ended count no more
    Guards against a limit that is used up by requests that are gone.
    Given incomplete requests of 500 and 500 kB
    When all requests end
    And a request of 900 kB comes whole
    Then no request is refused
