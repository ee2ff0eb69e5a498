Feature: Operation of the processes

  Scenario: Traces have a span for each hop
    Given a fleet that exports its traces
    When a caller with the trace context "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" sends a chat
    Then the trace has the spans "caller request" and "engine request", each a child of the one before

  Scenario: Listeners with TLS, and mutual authentication between instances
    Given a fleet of 2 routers with certificates of one certificate authority
    Then a caller that trusts the certificate authority gets a response over HTTPS
    And the routers list each other as peers
    And a client without a certificate is rejected by the peer listener
    And a client with a certificate of another certificate authority is rejected by the peer listener

  Scenario Outline: A process with invalid settings exits with code 78
    When the router is started with the settings file:
      """
      <settings>
      """
    Then it exits with code 78 and a message that contains "<key>" and "<allowed>"

    Examples:
      | settings                                   | key                  | allowed                            |
      | instanceID: router-1                       | instanceID           | known keys are instanceId          |
      | instanceId: Router 1                       | instanceId           | expected 1 to 63 lower case letters |
      | {instanceId: a, retryShare: 7}             | retryShare           | expected a number from 0 to 1      |
      | {instanceId: a, callers: {host: nowhere}}  | callers.host         | expected an IP number              |

  Scenario: An order reaches an engine that ignores fencing numbers, and an outdated order that arrives late is undone
    Given engines that ignore fencing numbers
    And a fleet of 2 routers and 1 engines
    When an operator orders "engine-1" to load the model "painter-v2"
    Then "engine-1" has the model "painter-v2" within 15 s
    When an outdated order for the model "painter-v1" from a paused lease holder reaches "engine-1"
    Then "engine-1" has the model "painter-v2" within 15 s
