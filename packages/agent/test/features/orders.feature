Feature: Orders to targets
  Guards against targets that stay on other models than the tree wants, and against orders of a process
  that another one has replaced.

  Background:
    Given an agent whose target has 4 places

  Scenario: The models of the tree are loaded and others unloaded
    When the tree wants the models "atlas-70b"
    Then the target serves "atlas-70b"
    And the load report names "atlas-70b"

  Scenario: A request for a model that is not loaded yet is refused as not run
    Given the target has the faults '{"refuse": true}'
    When the tree wants the models "atlas-7b, atlas-70b"
    And "pending" is forwarded for the model "atlas-70b"
    Then "pending" is refused with "no-target" as "not run"

  Scenario: A model that the target lost unnoticed does not look like a mistake of the caller
    When the target drops its models unnoticed
    And "lost" is forwarded
    Then "lost" is refused with "no-target" as "not run"

  Scenario: A replaced process sends no order to a target that ignores fencing numbers
    Given the tree wants the models "atlas-70b"
    And the target serves "atlas-70b"
    And another process takes the fencing number
    When the tree wants the models "atlas-7b"
    Then the agent reads the fencing number again
    And the target was given 2 orders
