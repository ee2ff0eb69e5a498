Feature: Operations as the page describes them
  Every command on docs/OPERATIONS.md is run as it stands there.

  Scenario: The commands of docs/OPERATIONS.md
    Given the files of the page in a directory of their own
    And a fleet for the example sheet with 3 routers and 1 administration process
    When the commands of the page are run in order
    Then each ended as the page says
    And every command of the command line was run

  Scenario: The platform is down
    Given a fleet of 2 routers and 1 engines
    And 1 administration process
    When the table service is down
    Then "sheet show" ends with exit code 69 and the message "the platform is not available"
    And "fleet status" ends with exit code 0 and the message ""
