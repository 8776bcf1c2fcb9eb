Feature: Routing
  Guards against requests that are sent to failed, overloaded or remote agents although better ones are available.

  Scenario: The subset prefers the local failure domain and includes agents of other failure domains
    Given 40 members in "quay" and 40 in "mole"
    Then a subset of 24 has 18 members of "quay" and 6 of "mole"

  Scenario Outline: Agents are chosen by expected wait, with a preference for local ones
    Given agents with these expected waits
      | name     | domain | wait      |
      | engine-1 | quay   | <local 1> |
      | engine-2 | quay   | <local 2> |
      | engine-3 | mole   | <remote>  |
    Then the choice is always one of "<chosen>"

    Examples:
      | local 1 | local 2 | remote | chosen             |
      | 0       | 40      | 0      | engine-1           |
      | 20      | 20      | 15     | engine-1, engine-2 |
      | 60      | 60      | 5      | engine-3           |

  Scenario: Requests with the same prompt prefix are sent to the same agent while it has free capacity
    Given agents with these expected waits
      | name     | domain | wait |
      | engine-1 | quay   | 0    |
      | engine-2 | quay   | 0    |
      | engine-3 | quay   | 0    |
    Then requests with the prefix "pilot" are always sent to the same agent
    And that agent is no longer chosen once its expected wait is 500 ms

  Scenario: An open circuit breaker allows one probe after its open time
    Then a circuit breaker allows requests as follows
      | at   | event          | allows |
      | 0    | none           | true   |
      | 0    | fails          | false  |
      | 999  | none           | false  |
      | 1000 | none           | true   |
      | 1001 | begins a probe | false  |
      | 1002 | succeeds       | true   |

  Scenario: A request at an agent that becomes unresponsive is retried on another agent long before its deadline
    Given the agents
      | name     | service | domain |
      | engine-1 | chat    | quay   |
      | engine-2 | chat    | quay   |
    And whichever agent comes first stops responding
    When the caller sends a chat
    Then the answer has status 200
    And the targets ran 2 requests

  Scenario: A stream that was cut by a crash, without a response that reports it, is recorded by exactly one entry host
    Given 2 entry hosts "entry-1, entry-2" that share a suspect list
    When "entry-1" is told that "abalone, barnacle" crashed, in the response to "abalone"
    And "entry-2" is told that "abalone, barnacle" crashed, in the response to "cockle"
    Then "abalone" is recorded 1 time and "barnacle" 0 times
    When all delays of the entry hosts have passed
    Then "abalone" is recorded 1 time and "barnacle" 1 time
