Feature: Requests that crash targets
  Guards against a request that crashes one target after another without being detected, and against
  other requests being blamed for the crash.

  Scenario: A crash reports all requests in flight
    Given an agent whose target has 4 slots
    And "bystander" waits in the target for a buffered response of 1000000 tokens
    When "__crash__" is forwarded
    Then "__crash__" is refused with "target-crashed" naming "__crash__" and "bystander"
    And "bystander" is refused with "target-crashed" naming "__crash__" and "bystander"

  Scenario: A stream that has begun is reported to an entry host, because its response cannot report the crash
    Given an agent whose target has 4 slots
    And an entry host that accepts crash reports
    And "begun" runs without end
    When "__crash__" is forwarded
    Then the connection of "begun" was closed without a final event
    And only "begun" is reported to the entry host

  Scenario: A single dropped connection is not a crash
    Given an agent whose target has 4 slots
    And "holder" runs without end
    And the target has the faults '{"loseAnswers": 1}'
    When "lost" is forwarded
    Then "lost" is refused with "target-failed" as "outcome unknown"

  Scenario: A target that is down receives no requests
    Given an agent whose target has 4 slots
    When "__crash__" is forwarded
    And "next" is forwarded
    Then "next" is refused with "no-target" as "not run"
    And the agent serves again after the restart

  Scenario: A suspect runs alone
    Given an agent whose target has 4 slots
    And "holder" runs without end
    When "suspect" is forwarded as a suspect without end and waits
    And "other" is forwarded by "harbor" and waits
    Then the target was not given "suspect"
    When "holder" is aborted by its caller
    Then the target is given "suspect" and not "other"
    When "suspect" is aborted by its caller
    Then "other" gets a complete response

  Scenario: A dropped connection of a suspect that runs alone is a crash
    Given an agent whose target has 4 slots
    And the target has the faults '{"loseAnswers": 1}'
    When "suspect" is forwarded as a suspect
    Then "suspect" is refused with "target-crashed" naming "suspect" and "suspect"
