@fleet
Feature: Rows of the store that no instance can use
  Guards against one odd row that ends processes, hides sound rows or holds requests. The fleet is three instances, the
  store and its endpoints as processes.

  Scenario: Odd rows in every table
    Guards against requests that are refused or get no answer, and instances that end or don't start, because of rows that
    are no entries or that name no endpoint.
    Given a relay fleet
    When odd rows are written to every table
    Then streams, lookups and charges at each instance are answered
    When all instances are killed and started
    Then streams, lookups and charges at each instance are answered
    And no instance has ended or logged an error of the program
