Feature: Complete responses to the right request
  Guards against truncated or mismatched responses and requests run twice without the caller being told
  (P8, P10).

  Background:
    Given an agent whose target has 4 slots

  Scenario: A truncated stream does not end cleanly
    Given the target has the faults '{"cutAfterTokens": 2}'
    When "cut" is forwarded
    Then the connection of "cut" was closed without a final event

  Scenario: A stream without a final event does not end cleanly
    Given the target has the faults '{"omitFinalEvent": true}'
    When "open" is forwarded
    Then the connection of "open" was closed without a final event

  Scenario: A truncated buffered response is refused with an unknown outcome
    Given the target has the faults '{"loseAnswers": 1}'
    When "lost" is forwarded without streaming
    Then "lost" is refused with "target-failed" as "outcome unknown"

  Scenario: A response to another request is dropped
    Given a request for 3 tokens has completed
    And the target has the faults '{"crossAnswers": 1}'
    When "crossed" is forwarded
    Then "crossed" is refused with "target-failed" as "outcome unknown"
    And the response to "crossed" contains no output

  # Guards against a status that HTTP doesn't have and that is passed on to the caller.
  Scenario Outline: A response with status <status> is a failure of its target
    When a target responds with status <status>
    Then the request has failed

    Examples:
      | status |
      | 0      |
      | 600    |
      | 999    |

  Scenario: A non-repeatable request is not sent a second time
    Given the target has the faults '{"loseAnswers": 1}'
    When "order" is forwarded as a non-repeatable request
    And "order" is forwarded as a non-repeatable request
    Then "order" is refused with "outcome-unknown" as "outcome unknown"
    And the target was given "order" once

  Scenario: A caller that disconnects cancels its request
    Given "holder" runs without end
    When "holder" is aborted by its caller
    Then the target ended "holder" as "cancelled"

  Scenario: A request is cancelled at its deadline
    When "slow" is forwarded for 1000000 tokens with a deadline of 100 ms
    Then the response to "slow" is not complete
    And the target ended "slow" as "cancelled"
