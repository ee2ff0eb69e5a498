Feature: Backend servers that leave
  Checks the arrival times of requests in the records of the backend servers.

  Scenario: A backend server leaves while the instance list lags
    Given a fleet of 3 routers and 3 engines
    And an instance list that lags by 60 s
    When callers stream chats continuously through each router
    And "engine-1" starts to leave
    And 5 s pass
    And "engine-3" starts to leave
    And 4 s pass
    Then "engine-1" received requests until it started to leave, and none later than 3 s after that
    And "engine-3" received requests until it started to leave, and none later than 3 s after that
    And every chat got a complete response

  Scenario: A backend server leaves while the instance list is down
    Given a fleet of 3 routers and 2 engines
    When the instance list is down
    And callers stream chats continuously through each router
    And "engine-1" starts to leave
    And 4 s pass
    Then "engine-1" received requests until it started to leave, and none later than 3 s after that
    And every chat got a complete response

  Scenario: Only the instance list reports that a backend server leaves, and a new process replaces it
    Given a fleet of 3 routers and 2 engines
    When callers stream chats continuously through each router
    And the instance list names "engine-1" as leaving
    And 8 s pass
    Then "engine-1" has received no request for 2 s
    When "engine-1" is replaced by a new process
    And 4 s pass
    Then the new process of "engine-1" receives requests
    And every chat got a complete response
