Feature: Groups of engines for one prompt
  The request component reserves engines one after the other and releases all of them however the request ends.

  Scenario: The engines are reserved in order and the last one is the leader
    Guards against a stream that starts before all other engines hold memory.
    Given a prompt that needs the engines e1, e2 and e3
    When all permits are granted and all engines answer
    Then "e1" and "e2" hold memory before "e3" gets the stream, which names them
    And the asks were for "e1", "e2" and "e3" in this order
    And the end of the answer frees "e1" and "e2" and returns all permits

  Scenario: The caller disconnects while an engine is about to hold memory
    Guards against a release that arrives before its reservation, after which the engine keeps the memory forever.
    Given a prompt that needs the engines e1, e2 and e3
    When "e1" holds memory and the hold at "e2" is under way
    And the caller of the group disconnects
    Then the memory of "e1" is freed at once
    And the memory of "e2" is freed only after the hold was answered

  Scenario: The hold fails without an answer
    Guards against memory that stays held because the answer to the hold was lost.
    Given a prompt that needs the engines e1, e2 and e3
    When "e1" holds memory and the hold at "e2" is under way
    And the connection to "e2" is lost
    Then the memory of "e1" and "e2" is freed

  Scenario: An engine refuses to hold
    Guards against a request that fails, or keeps the memory it holds, when one engine of a group is full.
    Given a prompt that needs the engines e1, e2 and e3
    When "e1" holds memory and the hold at "e2" is under way
    And "e2" answers that it is full
    Then the memory of "e1" and "e2" is freed
    And "e1" is asked again after a delay, under another id

  Scenario: An engine becomes cold between its permit and the hold
    Guards against memory held at a cold engine beyond the limit for cold engines.
    Given a prompt that needs the engines e1, e2 and e3
    When the permit of "e1" is granted and its status shows that it restarted
    Then nothing is held and the permit is returned with the id of that start

  Scenario: An engine goes out of service during the reservation
    Guards against new work for an endpoint seconds after an order took it out of service.
    Given a prompt that needs the engines e1, e2 and e3
    When "e1" and "e2" hold memory and "e1" goes out of service
    And the permit of "e3" is granted and its status is read
    Then no stream starts and the memory of "e1" and "e2" is freed
