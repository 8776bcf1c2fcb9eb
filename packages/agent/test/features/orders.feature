Feature: Orders to targets
  Guards against targets that serve other models than the tree declares, and against orders of a
  process that another one has replaced.

  Background:
    Given an agent whose target has 4 slots

  Scenario: The declared models are loaded and others are unloaded
    When the tree declares the models "atlas-70b"
    Then the target serves "atlas-70b"
    And the load report lists "atlas-70b"

  Scenario: A request for a model that is not loaded yet is refused as not run
    Given the target has the faults '{"refuse": true}'
    When the tree declares the models "atlas-7b, atlas-70b"
    And "pending" is forwarded for the model "atlas-70b"
    Then "pending" is refused with "no-target" as "not run"

  Scenario: A request for a model that the target lost is refused without blaming the caller
    When the target loses its models without a crash
    And "lost" is forwarded
    Then "lost" is refused with "no-target" as "not run"

  Scenario: A replaced process sends no order to a target that ignores fencing numbers
    Given the tree declares the models "atlas-70b"
    And the target serves "atlas-70b"
    And another process acquires the fencing number
    When the tree declares the models "atlas-7b"
    Then the agent reads the fencing number again
    And the target was given 2 orders
