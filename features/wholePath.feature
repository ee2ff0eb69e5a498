Feature: The whole path of a request
  Callers reach engines through any router; what they get is whole, their own and billed once.

  Scenario: Streamed chats through each router
    Given a fleet of 3 routers and 2 engines
    When 4 callers send a streamed chat through each router
    Then every answer is whole and its caller's own
    And every request is billed once with the usage that its caller was told
    And the ledger has no violation

  Scenario: OpenAI's client library works unchanged
    Given a fleet of 1 routers and 1 engines
    When OpenAI's client library streams a chat and asks for the models
    Then the library's answers were whole
    And the ledger has no violation

  Scenario Outline: Bad input is refused without a trace
    Given a fleet of 1 routers and 1 engines
    And routers with the settings:
      """
      {"requestDeadlineMilliseconds": 2000, "bodyLimitBytes": 65536, "budget": {"idleReturnMilliseconds": 500}}
      """
    When a caller sends <input>
    Then it is told <status> with the code "<code>" and that nothing ran
    And no engine has run anything
    And the routers still answer
    And no tokens stay reserved
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

  Scenario: A caller leaves in the middle of its stream
    Given a fleet of 1 routers and 1 engines
    And routers with the settings:
      """
      {"budget": {"idleReturnMilliseconds": 500}}
      """
    When a caller leaves in the middle of its stream
    Then its stream is cancelled at the engine and billed as far as it ran
    And the routers still answer
    And no tokens stay reserved
    And the ledger has no violation

  Scenario: A caller leaves before its answer that is not streamed
    Given a fleet of 1 routers and 1 engines
    And routers with the settings:
      """
      {"budget": {"idleReturnMilliseconds": 500}}
      """
    When a caller leaves before its whole answer comes
    Then its stream is cancelled at the engine and billed as far as it ran
    And the routers still answer
    And no tokens stay reserved
    And the ledger has no violation

  Scenario: An engine drops the connection in the middle of its streams
    Given a fleet of 2 routers and 2 engines
    When 3 callers through each router send a streamed chat whose connection the engine drops after 20 tokens
    Then every answer is whole and its caller's own
    And each chat ran once at the engines
    And every request is billed once with the usage that its caller was told
    And the ledger has no violation

  Scenario: Engines answer with the ID of another request
    Given a fleet of 1 routers and 2 engines
    When the engines answer a caller's chat with the ID of another request
    Then it gets no content, an error and no end marker, and the router has dropped 2 answers
    And the ledger has no violation
