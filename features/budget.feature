Feature: Prepaid token budgets under failures
  Checks spending and billing against the rows in the platform's table and the runs at the backend servers.

  Scenario: A router is killed with open streams
    Given a fleet of 3 routers and 2 engines
    And routers with the settings:
      """
      {"budget": {"leaseMilliseconds": 2000}}
      """
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When 4 callers keep streams with idempotency keys open through "router-1"
    And "router-1" is killed
    And those callers retry with the same idempotency keys through "router-2"
    Then every response is complete and belongs to its request
    And every request is billed once with the usage that its response reported
    And the outstanding tokens of "router-1" are withheld until an operator releases them
    And the ledger has no violation

  Scenario: The store is down when bills are due
    Given a fleet of 3 routers and 2 engines
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When 2 callers send a streamed chat through each router
    And the table service is down
    And 2 callers send a streamed chat through each router
    Then every response is complete and belongs to its request
    And the table has fewer bills than there were responses
    When the table service is available again
    Then every request is billed once with the usage that its response reported
    And the ledger has no violation

  Scenario: Write replies are lost
    Given a fleet of 3 routers and 2 engines
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When half of the table's replies are lost
    And 10 callers send a streamed chat through each router
    And the table service is available again
    Then every response is complete and belongs to its request
    And every request is billed once with the usage that its response reported
    And the ledger has no violation

  Scenario Outline: A lease holder is paused while its lease expires
    Given a fleet of the organisation "<organisation>" with 3 routers
    And routers with the settings:
      """
      {"budget": {"leaseMilliseconds": 2000, "smallestAllowanceTokens": 2000}}
      """
    And client accounts with budgets:
      | account | tokens |
      | escuela | 8000   |
    When a caller keeps a stream open through "router-1"
    And "router-1" is paused for 4 s while callers exhaust the budget through the other routers
    Then the stream of that caller is complete
    And no more tokens are spent than were prepaid, and each run is billed once
    And the ledger has no violation

    Examples:
      | organisation |
      | taller       |
      | fundacion    |

  Scenario: A top-up is applied twice during an outage
    Given a fleet of 2 routers and 1 engines
    And client accounts with budgets:
      | account | tokens |
      | escuela | 300    |
    When callers exhaust the budget through each router
    And half of the table's replies are lost
    And two operators add the top-up "second" of 5000 tokens at the same time, each twice
    And a sheet with the top-up "second" of 5000 tokens is accepted
    And the table service is available again
    Then the budget has 5300 prepaid tokens
    And a caller gets a complete response through each router
    And the budget has 5300 prepaid tokens
    And the ledger has no violation

  Scenario: A router stops during an outage and hands over to a peer
    Given a fleet of 3 routers and 2 engines
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When 2 callers send a streamed chat through each router
    And the table service is down
    And 2 callers send a streamed chat through each router
    And "router-1" gets SIGTERM and exits with code 0
    And the table service is available again
    Then every response is complete and belongs to its request
    And every request is billed once with the usage that its response reported
    And no lease of "router-1" remains
    And the ledger has no violation
