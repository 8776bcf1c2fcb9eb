Feature: Routing
  Guards against requests for agents that are lost, overloaded or far when better ones are near.

  Scenario: The subset prefers the own failure domain and spreads over others
    Given 40 members in "quay" and 40 in "mole"
    Then a subset of 24 has 18 members of "quay" and 6 of "mole"

  Scenario Outline: An agent is chosen by expected wait, near ones first
    Given the agents wait
      | name     | domain | wait       |
      | engine-1 | quay   | <near>     |
      | engine-2 | quay   | <near too> |
      | engine-3 | mole   | <far>      |
    Then the choice is always one of "<chosen>"

    Examples:
      | near | near too | far | chosen              |
      | 0    | 40       | 0   | engine-1            |
      | 20   | 20       | 15  | engine-1, engine-2  |
      | 60   | 60       | 5   | engine-3            |

  Scenario: Requests with the same prompt prefix go to the same agent while it has room
    Given the agents wait
      | name     | domain | wait |
      | engine-1 | quay   | 0    |
      | engine-2 | quay   | 0    |
      | engine-3 | quay   | 0    |
    Then the prefix "pilot" is always sent to one agent
    And that agent is left out once its wait is 500 ms

  Scenario: An open circuit lets one probe through after its pause
    Then a circuit lets requests through
      | at   | event          | allows |
      | 0    | none           | true   |
      | 0    | fails          | false  |
      | 999  | none           | false  |
      | 1000 | none           | true   |
      | 1001 | begins a probe | false  |
      | 1002 | succeeds       | true   |

  Scenario: A request at an agent that falls silent is retried elsewhere long before its deadline
    Given the agents
      | name     | service | domain |
      | engine-1 | chat    | quay   |
      | engine-2 | chat    | quay   |
    And whichever agent comes first falls silent
    When the caller sends a chat
    Then the answer has status 200
    And the targets ran 2 requests

  Scenario: A stream that dropped in a crash without an answer is recorded once among the entry hosts
    Given 2 entry hosts "entry-1, entry-2" that share a suspect list
    When "entry-1" is told that "abalone, barnacle" crashed, in answer to "abalone"
    And "entry-2" is told that "abalone, barnacle" crashed, in answer to "cockle"
    Then "abalone" is recorded 1 time and "barnacle" 0 times
    When all waits of the entry hosts are over
    Then "abalone" is recorded 1 time and "barnacle" 1 time
