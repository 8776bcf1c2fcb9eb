Feature: Graceful stop
  Guards against requests that are aborted by a planned stop (P12).

  Background:
    Given the agents
      | name     | service |
      | engine-1 | chat    |

  Scenario: A running request completes, a new one is refused and the process exits with 0
    Given "engine-1" next holds its answer
    When the caller begins to send a chat
    And the entry host is told to stop
    And the caller sends GET "/readyz"
    Then the answer has status 503
    When the caller sends a chat
    Then it is refused with "stopping", "not run"
    When the entry host is told to stop
    And the held answers are given
    Then the answer has status 200
    And the entry host exits with 0

  Scenario: A request that does not end is aborted at the deadline
    Given "engine-1" next runs without an answer
    When the caller begins to send a chat
    And the entry host is told to stop
    Then the entry host exits with 1
