Feature: Operators' orders
  Guards against an endpoint or data centre that is out of service at one instance and in service at another.

  Scenario: Opposite orders end in the same state everywhere
    Guards against registers whose state depends on the sequence of delivery.
    Then any orders give the same state in any sequence, also if delivered twice
    And two concurrent orders give the same state in any lossy fleet

  Scenario: At equal counts "out" wins
    Guards against work that is sent to a target that one of two operators has set out of service.
    Then of orders with the same count "out" wins in either sequence

  Scenario: An order reaches all members within 5 seconds while the table is down
    Guards against a data centre that gets new work after it was set out of service.
    Then an order placed at any of nine members reaches all within 5 seconds despite lost messages

  Scenario: Orders survive a restart of all instances
    Guards against an endpoint that is put back in service by a restart of the fleet.
    Then an instance that reads the table has the orders that were written

  Scenario: Concurrent writes of a row are resolved by the same rule
    Guards against a row that keeps the losing order.
    Then an order whose write finds a row with a lower count replaces the row
    And an order whose write finds a row with a higher count loses to the row

  Scenario: An order placed during an outage is written after it
    Guards against an order that is lost when the instances that know it stop.
    Then an order whose write got no answer is written after a later read
