Feature: Graceful shutdown
  Guards against a planned stop that aborts requests or accepts new ones (P12), and against a drained
  target that receives new requests (P11).

  Scenario: A stop lets running requests complete and refuses new ones
    Given an agent whose target has 4 slots
    And "running" waits in the target for a buffered response of 100 tokens
    When the agent is asked to stop
    And "new" is forwarded
    Then "new" is refused with "stopping" as "not run"
    And "running" gets a complete response
    And the agent ends with exit code 0

  Scenario: The shutdown deadline aborts the remaining requests
    Given an agent whose target has 4 slots and that stops within 100 ms
    And "holder" runs without end
    When the agent is asked to stop
    Then the agent ends with exit code 1
    And the connection of "holder" was closed without a final event

  Scenario Outline: A draining target receives no new requests
    Given an agent whose target has 4 slots
    When the <source> marks the target as draining
    And "new" is forwarded
    Then "new" is refused with "target-leaving" as "not run"
    And the load report states "leaving"

    Examples:
      | source    |
      | tree      |
      | host list |
