Feature: Target stand-ins
  Guards against stand-ins that do not report which requests a target received, or whose faults do
  not occur. Tests that rely on them would then pass without checking anything.

  Scenario: The content of a response depends only on prompt and seed
    Given an engine with seed 3
    And an engine with seed 3
    And an engine with seed 4
    When each engine completes "name a harbor" with 8 tokens
    Then engines 1 and 2 answer the same
    And engines 1 and 3 answer differently

  Scenario: A streamed and a single response have the same content and usage
    Given an engine with seed 3
    When "name a harbor" is completed with 8 tokens, streamed and as a single response
    Then both responses have the same content and 8 completion tokens
    And the stream ends with "data: [DONE]"

  Scenario: A repeated prefix is cached until it is evicted
    Given an engine with a prefix cache of 64 tokens
    Then a prompt of 40 tokens finds 0 cached tokens
    And the same prompt finds 32 cached tokens
    When another prompt of 64 tokens is completed
    Then the same prompt finds 0 cached tokens

  Scenario: A crash aborts all requests and ends with the restart
    Given an engine with seed 3
    And the request "holder" runs indefinitely on the engine
    When the engine receives the prompt "__crash__"
    Then the engine refuses connections
    And the connection of "holder" was destroyed
    And the engine accepts connections again and has logged the outcomes "crashed, crashed"

  Scenario: A stream can be suspended, resumed and cancelled
    Given an engine with seed 3
    And the request "holder" runs indefinitely on the engine
    When "holder" is suspended
    Then the load reported by the engine becomes 0 running and 1 suspended
    When "holder" is resumed
    Then the load reported by the engine becomes 1 running and 0 suspended
    When "holder" is cancelled
    Then the connection of "holder" was destroyed

  Scenario: An engine rejects invalid parameters
    Given an engine with seed 3
    Then the engine responds to "__impossible__" with status 400

  Scenario Outline: Orders with an old fencing number
    Given an engine that <checks> fencing numbers
    When the order 5 to load "atlas-70b" is sent
    And the order 4 to unload "atlas-7b" is sent
    Then the response to the last order has status <status>
    And the engine serves "<models>"

    Examples:
      | checks  | status | models              |
      | checks  | 409    | atlas-7b, atlas-70b |
      | ignores | 200    | atlas-70b           |

  Scenario: A request whose response is lost is counted as run
    Given a service
    And the service has the faults '{"loseAnswers": 1}'
    When "/orders" is called 2 times
    Then the responses are "none, 2"
    And the logged outcomes are "lost, completed"

  Scenario: A refused or dropped request is not run
    Given a service
    When the service has the faults '{"refuse": true}'
    And "/orders" is called 1 time
    And the service has the faults '{"down": true}'
    And "/orders" is called 1 time
    And the service has the faults '{}'
    And "/orders" is called 1 time
    Then the logged outcomes are "refused, dropped, completed"
    And the responses are "refused, none, 1"

  Scenario: A crossed response carries the id of another request
    Given a service
    When "/orders" is called 1 time
    And the service has the faults '{"crossAnswers": 1}'
    And "/orders" is called 2 times
    Then the ids of the responses are "request-1, request-1, request-3"
