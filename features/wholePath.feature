Feature: End-to-end path of a request
  Callers reach engines through any router; each response is complete, belongs to its request and is billed once.

  Scenario: Streamed chats through each router
    Given a fleet of 3 routers and 2 engines
    When 4 callers send a streamed chat through each router
    Then every response is complete and belongs to its request
    And every request is billed once with the usage that its response reported
    And the ledger has no violation

  Scenario: OpenAI's client library works unchanged
    Given a fleet of 1 routers and 1 engines
    When OpenAI's client library lists the models and streams a chat
    Then the responses to the library were complete
    And the ledger has no violation

  Scenario Outline: Invalid input is rejected without side effects
    Given a fleet of 1 routers and 1 engines
    And routers with the settings:
      """
      {"requestDeadlineMilliseconds": 2000, "bodyLimitBytes": 65536, "budget": {"idleReturnMilliseconds": 500}}
      """
    When a caller sends <input>
    Then the response has status <status> and code "<code>" and says that nothing ran
    And no engine has run a request
    And the routers still serve requests
    And no tokens remain reserved
    And the ledger has no violation

    Examples:
      | input             | status | code             |
      | malformed JSON    | 400    | invalid_json     |
      | no messages       | 400    | invalid_request  |
      | an oversized body | 413    | body_too_large   |
      | an unknown model  | 404    | model_not_found  |
      | a wrong key       | 401    | invalid_api_key  |
      | a huge header     | 431    | headers_too_large |
      | a slow sender     | 408    | request_timeout  |

  Scenario: A caller disconnects in the middle of its stream
    Given a fleet of 1 routers and 1 engines
    And routers with the settings:
      """
      {"budget": {"idleReturnMilliseconds": 500}}
      """
    When a caller disconnects in the middle of its stream
    Then its run is cancelled at the engine and billed for the tokens used
    And the routers still serve requests
    And no tokens remain reserved
    And the ledger has no violation

  Scenario: A caller disconnects before a response that is not streamed
    Given a fleet of 1 routers and 1 engines
    And routers with the settings:
      """
      {"budget": {"idleReturnMilliseconds": 500}}
      """
    When a caller disconnects while it waits for a response that is not streamed
    Then its run is cancelled at the engine and billed for the tokens used
    And the routers still serve requests
    And no tokens remain reserved
    And the ledger has no violation

  # Guards against a router that is behind with its work and forwards requests that nobody waits for any more.
  Scenario: Callers disconnect before their router reads their requests
    Given a fleet of 1 routers and 1 engines
    When 10 callers send a chat to a paused router and disconnect before it resumes
    Then only the chat of a caller that still waits has run
    And no tokens remain reserved
    And the ledger has no violation

  Scenario: An engine drops the connection in the middle of its streams
    Given a fleet of 2 routers and 2 engines
    When 3 callers through each router send a streamed chat whose connection the engine drops after 20 tokens
    Then every response is complete and belongs to its request
    And each chat ran once at the engines
    And every request is billed once with the usage that its response reported
    And the ledger has no violation

  Scenario: Engines answer with the ID of another request
    Given a fleet of 1 routers and 2 engines
    When the engines answer a caller's chat with the ID of another request
    Then the caller gets an error without content or end marker, and the router has dropped 2 responses
    And the ledger has no violation
