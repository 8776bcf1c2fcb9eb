Feature: Online before batch
  Guards against online requests that wait behind batch work (P3), and against refusals that say
  "not run" of a request that the target was given (P9).

  Scenario: Online enters a target full of batch streams at once
    Given an agent whose target has 4 places, all held by batch streams
    When "online" is forwarded
    Then "online" is answered whole
    And 1 batch stream was cancelled at the target for it
    And 4 batch streams are in the target again

  Scenario: A burst takes the places of all batch streams
    Given an agent whose target has 4 places, all held by batch streams
    When 4 endless requests are forwarded
    Then 4 batch streams were cancelled at the target for them
    And no batch stream is in the target

  Scenario: Overload is refused as not run
    Given an agent whose target has 1 place
    And "holder" runs without end
    When "late" is forwarded with a wait limit of 30 ms
    Then "late" is refused with "overloaded" as "not run"
    And the target was not given "late"

  Scenario: The load report tells the expected wait
    Given an agent whose target has 1 place
    And a request of 100 tokens was answered
    When "holder" runs without end
    Then the load report expects a wait

  Scenario: Small accounts do not wait behind a large one
    Given an agent whose target has 1 place
    And "holder" runs without end
    When 6 requests are forwarded by "harbor" and wait
    And "small" is forwarded by "lantern" and waits
    And "holder" is given up by its caller
    Then "small" is among the first 2 of those that waited

  Scenario: A full queue drops the last in fair order
    Given an agent whose target has 1 place
    And "holder" runs without end
    When 8 requests are forwarded by "harbor" and wait
    And "small" is forwarded by "lantern"
    Then 1 request of "harbor" is refused with "overloaded"
    And "small" still waits
