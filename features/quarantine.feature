Feature: A request that crashes backend servers is stopped
  Each run starts a fleet, repeatedly sends a poison request with new idempotency keys through all routers, and sends
  other requests concurrently.

  Scenario: A poison request is resent with new idempotency keys to several routers
    When in each run a poison request is resent at 3 routers in front of 6 engines
    Then no run loses more than 2 engines
    And in each run every router rejects the poison request as quarantined
    And in each run the concurrent requests get complete responses

  # Guards against a poison request whose crashes are not counted because its answer has begun.
  Scenario: A poison request that crashes engines in the middle of its answer is resent
    When in each run a poison request that crashes engines after 60 ms of its answer is resent at 3 routers in front of 6 engines
    Then no run loses more than 2 engines
    And in each run every router rejects the poison request as quarantined
    And in each run the concurrent requests get complete responses

  # Guards against requests that share one message, and nothing else, and crash one engine after the other.
  Scenario: Requests that are no two alike share a message that crashes engines
    When callers send chats with a crashing message among others at 3 routers in front of 10 engines
    Then at most 3 engines are lost later than 3 s after the fifth
    And the last chats with the crashing message are rejected as quarantined
    And the chats that share all other messages get complete responses
