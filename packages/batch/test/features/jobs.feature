Feature: Acceptance and cancellation of jobs
  Guards against a job that runs twice because it was sent again, a job that is acknowledged and lost,
  and a refusal that says "not run" although the job was accepted.

  Scenario Outline: The answer of the acceptance is lost
    Given the table loses answers and <settling>
    When a job of 3 items is submitted
    And the same job is submitted again
    Then both submissions have the same job
    And the queue holds 1 jobs

    Examples:
      | settling        |
      | settles them    |
      | cannot settle   |

  Scenario: A job is resent with another upload of the same content
    When a job of 3 items is submitted
    And the same job is uploaded and submitted again
    Then both submissions have the same job
    And the queue holds 1 jobs

  Scenario: Two resent submissions race
    When a job of 3 items is submitted twice at once
    Then both submissions have the same job
    And the queue holds 1 jobs

  Scenario: The same content runs again under another idempotency key, or a day later
    When a job of 3 items is submitted
    And the same job is submitted again with the key "second"
    And a day later the same job is submitted again
    Then the queue holds 3 jobs

  Scenario: An idempotency key is used for another job
    When a job of 3 items is submitted with the key "one"
    And a job of 4 items is submitted with the key "one"
    Then the last submission is refused as "identity-reused"
    And the queue holds 1 jobs

  Scenario: The table is down during the acceptance
    Given the table goes down once the input is read
    When a job of 3 items is submitted
    Then the last submission is refused as "unavailable"
    And the queue holds 0 jobs

  Scenario: The input file is deleted during the acceptance
    Given the input file is deleted once the input is read
    When a job of 3 items is submitted
    Then the last submission is refused as "not-found"
    And the queue holds 0 jobs
