Feature: Backend servers that leave
  The records of the backend servers show what each was given, and when.

  Scenario: A backend server leaves while the instance list lags
    Given a fleet of 3 routers and 3 engines
    And an instance list that is 60 s old
    When callers stream chats without pause through each router
    And "engine-1" starts to leave
    And 5 s pass
    And "engine-3" starts to leave
    And 4 s pass
    Then "engine-1" got work until it left, and none 3 s later
    And "engine-3" got work until it left, and none 3 s later
    And every chat was answered whole

  Scenario: A backend server leaves while the instance list is down
    Given a fleet of 3 routers and 2 engines
    When the instance list is down
    And callers stream chats without pause through each router
    And "engine-1" starts to leave
    And 4 s pass
    Then "engine-1" got work until it left, and none 3 s later
    And every chat was answered whole

  Scenario: Only the instance list says that a backend server leaves, and a new process takes its place
    Given a fleet of 3 routers and 2 engines
    When callers stream chats without pause through each router
    And the instance list names "engine-1" as leaving
    And 8 s pass
    Then "engine-1" has not got work for 2 s
    When "engine-1" is replaced by a new process
    And 4 s pass
    Then the new process of "engine-1" gets work
    And every chat was answered whole
