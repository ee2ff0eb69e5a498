Feature: A request that crashes backend servers is stopped
  Each run starts a fleet, repeatedly sends a poison request with new idempotency keys through all routers, and sends
  other requests concurrently.

  Scenario: A poison request is resent with new idempotency keys to several routers
    When in each run a poison request is resent at 3 routers in front of 6 engines
    Then no run loses more than 2 engines
    And in each run every router rejects the poison request as quarantined
    And in each run the concurrent requests get complete responses
