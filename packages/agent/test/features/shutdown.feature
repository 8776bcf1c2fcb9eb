Feature: Graceful shutdown
  Guards against a planned stop that cuts requests or takes new ones (P12), and against a drained
  target that gets new work (P11).

  Scenario: A stop lets running requests end and refuses new ones
    Given an agent whose target has 4 places
    And "running" waits for a whole answer of 100 tokens in the target
    When the agent is asked to stop
    And "new" is forwarded
    Then "new" is refused with "stopping" as "not run"
    And "running" is answered whole
    And the agent ends with exit code 0

  Scenario: The shutdown deadline cuts what is left
    Given an agent whose target has 4 places and that stops within 100 ms
    And "holder" runs without end
    When the agent is asked to stop
    Then the agent ends with exit code 1
    And the connection of "holder" was cut without a final event

  Scenario Outline: A leaving target gets no new work
    Given an agent whose target has 4 places
    When the <source> says that the target leaves
    And "new" is forwarded
    Then "new" is refused with "target-leaving" as "not run"
    And the load report says "leaving"

    Examples:
      | source    |
      | tree      |
      | host list |
