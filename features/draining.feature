Feature: Routers that stop
  A planned stop is a graceful shutdown: it cuts off no request in progress.

  Scenario: A router gets SIGTERM during streams
    Given a fleet of 3 routers and 2 engines
    When 6 callers hold long streams open through "router-1"
    And "router-1" gets SIGTERM
    Then "router-1" is not ready at once and still answers callers whom the balancer sends it
    And the long streams are whole
    And "router-1" exits with code 0 after the last of them
    And the ledger has no violation

  Scenario: All routers are restarted in turn under load
    Given a fleet of 3 routers and 2 engines
    When callers stream chats without pause through each router that is ready
    And each router is restarted in turn
    Then every chat was answered whole
    And the ledger has no violation
