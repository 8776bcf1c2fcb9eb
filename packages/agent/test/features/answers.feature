Feature: Whole answers to the right request
  Guards against answers that are cut, crossed or run twice without the caller being told (P8, P10).

  Background:
    Given an agent whose target has 4 places

  Scenario: A cut stream is never a clean end
    Given the target has the faults '{"cutAfterTokens": 2}'
    When "cut" is forwarded
    Then the connection of "cut" was cut without a final event

  Scenario: A stream without its final event is never a clean end
    Given the target has the faults '{"omitFinalEvent": true}'
    When "open" is forwarded
    Then the connection of "open" was cut without a final event

  Scenario: A cut whole answer is told
    Given the target has the faults '{"loseAnswers": 1}'
    When "lost" is forwarded for a whole answer
    Then "lost" is refused with "target-failed" as "outcome unknown"

  Scenario: A crossed answer is dropped
    Given a request of 3 tokens was answered
    And the target has the faults '{"crossAnswers": 1}'
    When "crossed" is forwarded
    Then "crossed" is refused with "target-failed" as "outcome unknown"
    And nothing of an answer came with "crossed"

  Scenario: A once request is not sent a second time
    Given the target has the faults '{"loseAnswers": 1}'
    When "order" is forwarded as a once request
    And "order" is forwarded as a once request
    Then "order" is refused with "outcome-unknown" as "outcome unknown"
    And the target was given "order" once

  Scenario: A caller that goes away cancels the work
    Given "holder" runs without end
    When "holder" is given up by its caller
    Then the target ended "holder" as "cancelled"

  Scenario: A deadline cancels the work
    When "slow" is forwarded for 1000000 tokens with a deadline of 100 ms
    Then no whole answer came with "slow"
    And the target ended "slow" as "cancelled"
