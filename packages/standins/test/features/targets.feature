Feature: Stand-ins of targets
  Guards against stand-ins that hide what a target was given, or whose faults do not occur, which
  would let tests of the product pass for nothing.

  Scenario: Content depends on prompt and seed alone
    Given an engine with seed 3
    And an engine with seed 3
    And an engine with seed 4
    When each engine completes "name a harbor" with 8 tokens
    Then engines 1 and 2 answer the same
    And engines 1 and 3 answer differently

  Scenario: A stream and a whole answer have the same content and usage
    Given an engine with seed 3
    When "name a harbor" is streamed and completed whole with 8 tokens
    Then both have the same content and 8 completion tokens
    And the stream ends in "data: [DONE]"

  Scenario: A repeated prefix is cached until memory runs out
    Given an engine whose prefix cache holds 64 tokens
    Then a prompt of 40 tokens finds 0 cached tokens
    And the same prompt finds 32 cached tokens
    When other prompts of 64 tokens are completed
    Then the same prompt finds 0 cached tokens

  Scenario: A crash drops everything and is over after the restart
    Given an engine with seed 3
    And "holder" runs without end in the engine
    When the engine is given "__crash__"
    Then the engine refuses connections
    And "holder" was cut
    And the engine accepts connections again with outcomes "crashed, crashed"

  Scenario: A stream can be suspended, resumed and cancelled
    Given an engine with seed 3
    And "holder" runs without end in the engine
    When "holder" is suspended
    Then the load of the engine becomes 0 running and 1 suspended
    When "holder" is resumed
    Then the load of the engine becomes 1 running and 0 suspended
    When "holder" is cancelled
    Then "holder" was cut

  Scenario: An engine refuses what is impossible
    Given an engine with seed 3
    Then the engine answers "__impossible__" with status 400

  Scenario Outline: Orders with an old fencing number
    Given an engine that <checks> fencing numbers
    When the order 5 to load "atlas-70b" is sent
    And the order 4 to unload "atlas-7b" is sent
    Then the last order was answered with status <status>
    And the engine serves "<models>"

    Examples:
      | checks  | status | models              |
      | checks  | 409    | atlas-7b, atlas-70b |
      | ignores | 200    | atlas-70b           |

  Scenario: A lost answer belongs to a run that is counted
    Given a service
    And the service has the faults '{"loseAnswers": 1}'
    When "/orders" is called 2 times
    Then the answers are "none, 2"
    And the outcomes are "lost, completed"

  Scenario: A refused or dropped request is not run
    Given a service
    When the service has the faults '{"refuse": true}'
    And "/orders" is called 1 time
    And the service has the faults '{"down": true}'
    And "/orders" is called 1 time
    And the service has the faults '{}'
    And "/orders" is called 1 time
    Then the outcomes are "refused, dropped, completed"
    And the answers are "refused, none, 1"

  Scenario: A crossed answer carries the id of another request
    Given a service
    When "/orders" is called 1 time
    And the service has the faults '{"crossAnswers": 1}'
    And "/orders" is called 2 times
    Then the ids on the answers are "request-1, request-1, request-3"
