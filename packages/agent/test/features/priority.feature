Feature: Priority of online requests over batch requests
  Guards against online requests that wait behind batch requests (P3), and against refusals that state
  "not run" for a request that the target received (P9).

  Scenario: An online request preempts a batch stream in a full target
    Given an agent whose target has 4 slots, all held by batch streams
    When "online" is forwarded
    Then "online" gets a complete response
    And 1 batch stream was cancelled at the target for it
    And 4 batch streams are in the target again

  Scenario: A burst preempts all batch streams
    Given an agent whose target has 4 slots, all held by batch streams
    When 4 endless requests are forwarded
    Then 4 batch streams were cancelled at the target for them
    And no batch stream is in the target

  Scenario: A request is refused as not run under overload
    Given an agent whose target has 1 slot
    And "holder" runs without end
    When "late" is forwarded with a wait limit of 30 ms
    Then "late" is refused with "overloaded" as "not run"
    And the target was not given "late"

  Scenario: The load report contains the expected wait
    Given an agent whose target has 1 slot
    And a request for 100 tokens has completed
    When "holder" runs without end
    Then the load report contains an expected wait

  Scenario: Small accounts do not wait behind a large one
    Given an agent whose target has 1 slot
    And "holder" runs without end
    When 6 requests are forwarded by "harbor" and wait
    And "small" is forwarded by "lantern" and waits
    And "holder" is aborted by its caller
    Then "small" is among the first 2 of those that waited

  Scenario: A full queue refuses the last request in fair order
    Given an agent whose target has 1 slot
    And "holder" runs without end
    When 8 requests are forwarded by "harbor" and wait
    And "small" is forwarded by "lantern"
    Then 1 request of "harbor" is refused with "overloaded"
    And "small" still waits
