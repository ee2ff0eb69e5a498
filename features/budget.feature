Feature: Prepaid token budgets under failures
  The rows in the platform's table and the runs at the backend servers show what was spent and billed.

  Scenario: A router is killed with open streams
    Given a fleet of 3 routers and 2 engines
    And routers with the settings:
      """
      {"budget": {"leaseMilliseconds": 2000}}
      """
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When 4 callers hold keyed streams open through "router-1"
    And "router-1" is killed
    And those callers retry with their keys through "router-2"
    Then every answer is whole and its caller's own
    And every request is billed once with the usage that its caller was told
    And what "router-1" held is withheld until an operator releases it
    And the ledger has no violation

  Scenario: The store is down when bills are due
    Given a fleet of 3 routers and 2 engines
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When 2 callers send a streamed chat through each router
    And the table service is down
    And 2 callers send a streamed chat through each router
    Then every answer is whole and its caller's own
    And fewer bills than answers are in the table
    When the table service is back
    Then every request is billed once with the usage that its caller was told
    And the ledger has no violation

  Scenario: Write replies are lost
    Given a fleet of 3 routers and 2 engines
    And client accounts with budgets:
      | account | tokens |
      | escuela | 200000 |
    When half of the table's replies are lost
    And 10 callers send a streamed chat through each router
    And the table service is back
    Then every answer is whole and its caller's own
    And every request is billed once with the usage that its caller was told
    And the ledger has no violation

  Scenario Outline: A holder is paused while its lease expires
    Given a fleet of the organisation "<organisation>" with 3 routers
    And routers with the settings:
      """
      {"budget": {"leaseMilliseconds": 2000, "smallestAllowanceTokens": 2000}}
      """
    And client accounts with budgets:
      | account | tokens |
      | escuela | 8000   |
    When a caller holds a stream open through "router-1"
    And "router-1" is paused for 4 s while callers use up the budget through the other routers
    Then the held stream is whole
    And no more is spent than was prepaid, and each run is billed once
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
    When callers use up the budget through each router
    And half of the table's replies are lost
    And two operators add the top-up "second" of 5000 tokens at the same time, each twice
    And a sheet with the top-up "second" of 5000 tokens is accepted
    And the table service is back
    Then the budget has 5300 prepaid tokens
    And a caller is answered through each router
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
    And "router-1" is told to stop and ends with code 0
    And the table service is back
    Then every answer is whole and its caller's own
    And every request is billed once with the usage that its caller was told
    And no lease of "router-1" is left
    And the ledger has no violation
