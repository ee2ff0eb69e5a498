Feature: Graceful shutdown of routers
  A planned stop interrupts no request in progress.

  Scenario: A router gets SIGTERM during streams
    Given a fleet of 3 routers and 2 engines
    When 6 callers keep long streams open through "router-1"
    And "router-1" gets SIGTERM
    Then "router-1" reports at once that it is not ready and still serves requests that the load balancer sends
    And the long streams are complete
    And "router-1" exits with code 0 after the last long stream
    And the ledger has no violation

  Scenario: All routers are restarted in turn under load
    Given a fleet of 3 routers and 2 engines
    When callers stream chats continuously through each router that is ready
    And each router is restarted in turn
    Then every chat got a complete response
    And the ledger has no violation
