Feature: Operators' orders
  Guards against an endpoint or data centre that is out at one instance and in at another.

  Scenario: Opposite orders end in the same state everywhere
    Guards against registers that depend on the order of delivery.
    Then any orders leave the same state in any sequence, also twice
    And two orders at once leave the same state in any lossy fleet

  Scenario: At equal counts "out" wins
    Guards against work that is sent to what one of two operators has taken out.
    Then of orders with the same count "out" holds in either sequence

  Scenario: An order reaches all members within 5 seconds while the table is down
    Guards against a data centre that gets new work after it was taken out.
    Then an order placed at any of nine members with lost messages is everywhere within 5 seconds

  Scenario: Orders outlive all instances
    Guards against an endpoint that comes back into service by a restart of the fleet.
    Then an instance that reads the table has the orders that were written

  Scenario: A race for a row is settled by the same rule
    Guards against a row that keeps the losing order.
    Then an order whose write meets a row with a lower count replaces the row
    And an order whose write meets a row with a higher count gives way

  Scenario: What was placed during an outage is written after it
    Guards against an order that is lost with the instances that know it.
    Then an order whose write got no answer is written after a later read
