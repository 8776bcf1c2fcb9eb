Feature: Requests that crash targets
  Guards against a request that crashes target after target unnoticed, and against innocent requests
  that are taken for it.

  Scenario: A crash names everything in flight
    Given an agent whose target has 4 places
    And "bystander" waits for a whole answer of 1000000 tokens in the target
    When "__crash__" is forwarded
    Then "__crash__" is refused with "target-crashed" naming "__crash__" and "bystander"
    And "bystander" is refused with "target-crashed" naming "__crash__" and "bystander"

  Scenario: A stream that has begun is reported to an entry host, as its answer cannot tell
    Given an agent whose target has 4 places
    And an entry host that takes reports of crashes
    And "begun" runs without end
    When "__crash__" is forwarded
    Then the connection of "begun" was cut without a final event
    And the entry host is told of "begun" alone

  Scenario: A single dropped connection is no crash
    Given an agent whose target has 4 places
    And "holder" runs without end
    And the target has the faults '{"loseAnswers": 1}'
    When "lost" is forwarded
    Then "lost" is refused with "target-failed" as "outcome unknown"

  Scenario: A target that is down gets no requests
    Given an agent whose target has 4 places
    When "__crash__" is forwarded
    And "next" is forwarded
    Then "next" is refused with "no-target" as "not run"
    And the agent serves again after the restart

  Scenario: A suspect runs alone
    Given an agent whose target has 4 places
    And "holder" runs without end
    When "suspect" is forwarded as a suspect without end and waits
    And "other" is forwarded by "harbor" and waits
    Then the target was not given "suspect"
    When "holder" is given up by its caller
    Then the target is given "suspect" and not "other"
    When "suspect" is given up by its caller
    Then "other" is answered whole

  Scenario: A suspect that drops while it runs alone has crashed the target
    Given an agent whose target has 4 places
    And the target has the faults '{"loseAnswers": 1}'
    When "suspect" is forwarded as a suspect
    Then "suspect" is refused with "target-crashed" naming "suspect" and "suspect"
