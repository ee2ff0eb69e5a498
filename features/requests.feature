Feature: Actions run at most once and responses are complete or end in an error
  Counts the runs of an action in the plain service's record.

  Scenario: A deposit is sent twice at the same time through two routers
    Given a fleet of 3 routers and 1 engines
    When the same deposit is sent through "router-1" and "router-2" at the same time
    Then both callers get the same response
    And the deposit was run 1 times

  Scenario: An idempotency key is reused with another body
    Given a fleet of 2 routers and 1 engines
    When the same deposit is sent through "router-1" and "router-2" at the same time
    And its idempotency key is reused with another body through "router-2"
    Then the last response has status 422, code "idempotency_key_reused" and run "no"
    And the deposit was run 1 times

  Scenario: A router is killed after it has forwarded a deposit
    Given a fleet of 3 routers and 1 engines
    And routers with the settings:
      """
      {"requestDeadlineMilliseconds": 3000}
      """
    When a deposit is in progress through "router-1", which is then killed
    And the deposit is sent again through "router-2"
    Then the last response has status 409, code "request_in_progress" and run "unknown"
    And the deposit was run 1 times

  Scenario: The store is down when a deposit arrives
    Given a fleet of 2 routers and 1 engines
    When the routers have discovered each other
    And the table service is unreachable
    And a deposit is sent through "router-1"
    Then the last response has status 503, code "store_unavailable" and run "no"
    And the deposit was run 0 times
    When the table service is reachable again
    And the deposit is sent again through "router-2"
    Then the last caller gets the response to the deposit
    And the deposit was run 1 times

  Scenario: The store is down and a router knows of no other instance
    Given a fleet of 1 routers and 1 engines
    When the table service is unreachable
    And a deposit is sent through "router-1"
    Then the last response has status 503, code "store_unavailable" and run "unknown"
    And the deposit was run 0 times

  Scenario: A router is killed after it has forwarded a deposit, and the store goes down before the retry
    Given a fleet of 3 routers and 1 engines
    And routers with the settings:
      """
      {"requestDeadlineMilliseconds": 3000}
      """
    When the routers have discovered each other
    And a deposit is in progress through "router-1", which is then killed
    And the table service is unreachable
    And the deposit is sent again through "router-2"
    Then the last response has status 503, code "store_unavailable" and run "unknown"
    When "router-1" is started again
    And the deposit is sent again through "router-1"
    Then the last response has status 503, code "store_unavailable" and run "unknown"
    And the deposit was run 1 times

  Scenario: The replies to the claim's writes are lost
    Given a fleet of 2 routers and 1 engines
    When all replies of the table are lost for 600 ms while a deposit is sent through "router-1"
    Then the last caller gets the response to the deposit
    And the deposit was run 1 times

  Scenario: An engine is killed in the middle of its streams
    Given a fleet of 2 routers and 3 engines
    When an engine is killed while 6 callers read streams through each router
    Then each stream is complete or ends in an error event without [DONE]
    And at least 1 stream ended in an error event
