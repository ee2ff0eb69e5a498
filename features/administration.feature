Feature: Documented operator commands
  Runs every command in docs/OPERATIONS.md as written.

  Scenario: The commands of docs/OPERATIONS.md
    Given a copy of the example files in a temporary directory
    And a fleet for the example sheet with 3 routers and 1 administration process
    When the documented commands are run in order
    Then each command ends with its documented exit code and prints output
    And every command of the command line was run

  Scenario: The platform is down
    Given a fleet of 2 routers and 1 engines
    And 1 administration process
    When the table service is down
    Then "sheet show" ends with exit code 69 and the message "the platform is not available"
    And "fleet status" ends with exit code 0 and the message ""
