Feature: A request that crashes backend servers is stopped
  Each run starts a fleet, sends a poison request again and again under new keys through all routers, and sends other
  requests beside it.

  Scenario: A poison request is resent under new keys at several routers
    When in each run a poison request is resent at 3 routers in front of 6 engines
    Then no run loses more than 2 engines
    And in each run the poison request is refused as quarantined at every router
    And in each run the neighbours are answered in full
