Feature: Activation of sheets on every router
  An accepted revision is active on every reachable router within 4 s and is never rolled back.

  Scenario: Applied sheets reach six routers
    Given a fleet of 6 routers and 1 engines
    And 1 administration process
    When an operator applies 5 sheets, one after the other
    Then each was active on all 6 routers within 4000 ms

  Scenario: A sheet reaches the routers through gossip alone
    Given a fleet of 6 routers and 1 engines
    And 1 administration process that reaches only "router-1"
    When the table service is down for all routers but "router-1"
    And an operator applies 3 sheets, one after the other
    Then each was active on all 6 routers within 4000 ms

  Scenario: Two operators apply at the same time
    Given a fleet of 3 routers and 1 engines
    And 2 administration processes
    When 8 times two operators apply different sheets based on the same revision through both processes
    Then each time one is accepted and the other ends with exit code 3
    And all routers have the same active sheet

  Scenario: Two operators apply at the same time and replies are lost
    Given a fleet of 3 routers and 1 engines
    And 2 administration processes
    When half of the table's replies are lost
    And 8 times two operators apply different sheets based on the same revision through both processes
    And the table service is available again
    Then each time one is accepted and the other ends with exit code 3
    And all routers have the same active sheet

  Scenario: A router starts while the store is down
    Given a fleet of 3 routers and 1 engines
    And 1 administration process
    When an operator applies 1 sheets, one after the other
    And the table service and the object store are down for all instances and for "router-4"
    And one more router starts
    Then it is ready with the revision of the other routers within 10000 ms
    And it serves requests

  Scenario: A router that was partitioned activates only higher revisions
    Given a fleet of 3 routers and 1 engines
    And 1 administration process
    When "router-2" is partitioned from the platform and all instances
    And an operator applies 2 sheets, one after the other
    Then "router-2" keeps its revision and still serves requests
    When the partition is healed
    Then all routers have the same active sheet

  Scenario Outline: An isolated router follows its isolation policy
    Given a fleet of 2 routers and 1 engines
    And routers with the settings:
      """
      {"whenIsolated": "<policy>", "isolatedAfterMilliseconds": 2000}
      """
    When "router-2" is partitioned from the platform and all instances
    Then after 4 s "router-2" responds with status <status>
    When the partition is healed
    Then within 10 s "router-2" responds with status 200

    Examples:
      | policy                  | status |
      | ISOLATION_POLICY_SERVE  | 200    |
      | ISOLATION_POLICY_REFUSE | 503    |

  Scenario: Keys and drains survive the next sheet
    Given a fleet of 3 routers and 2 engines
    And 1 administration process
    When an operator issues a key, revokes the key of "museo" and drains "engine-1"
    Then within 4 s every router accepts the issued key, rejects the key of "museo" and sends no request to "engine-1"
    When an operator applies 1 sheets, one after the other
    Then within 4 s every router accepts the issued key, rejects the key of "museo" and sends no request to "engine-1"
