Feature: Batch jobs in the store
  Guards against jobs that are lost or accepted twice, results that change their position, and refusals that
  promise more than is known, when answers of the store are lost, late, or refused.

  Scenario: A job that arrives at two hosts is accepted once
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And job "j-1" with 3 items arrives at "h-2"
    Then both are told that it is accepted
    And the store holds 1 job, held by "h-1"

  Scenario: The answer to the acceptance is lost
    Given hosts "h-1" and "h-2" with a store
    And the store loses the answer to the next commit
    When job "j-1" with 3 items arrives at "h-1"
    Then the caller is told that it is accepted
    And the store holds 1 job, held by "h-1"

  Scenario: An acceptance that may still be applied is not refused as not run
    Given hosts "h-1" and "h-2" with a store
    And the store answers none of the next 100 commits and applies them late
    When job "j-1" with 3 items arrives at "h-1"
    Then the caller is refused with "deadline-passed"

  Scenario: A store that refuses leads to a refusal that promises that nothing runs
    Given hosts "h-1" and "h-2" with a store
    And the store is down
    When job "j-1" with 3 items arrives at "h-1"
    Then the caller is refused with "platform-unavailable"
    And the store holds 0 jobs

  Scenario: Hosts that accept at the same time keep the limit of an account together
    Given hosts "h-1" and "h-2" with a store
    And accounts may have 450 tokens waiting
    When job "j-1" with 3 items arrives at "h-1"
    And job "j-2" with 3 items arrives at "h-2", which has not heard of it
    Then the caller is refused with "job-over-limit"

  Scenario: Results keep their position when the answer to a listing is lost
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And the store loses the answer to the next commit
    And "h-1" lists the result of item 2
    And "h-1" lists the result of item 0
    Then "h-2" reads the results of items 2, 0

  Scenario: A result whose listing a host hears of before it repeats the write is listed once
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And the store loses the answer to the next commit
    And "h-1" lists the result of item 2 and hears of it from the store before it repeats the write
    Then "h-2" reads the results of items 2

  Scenario: A host that was taken over lists nothing
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And "h-2" takes the job over
    And "h-1" lists the result of item 1
    And "h-2" lists the result of item 0
    Then "h-2" reads the results of items 0

  Scenario: The host that takes a job over goes on from the output of the lost one
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And "h-1" puts out events 1 to 40 of item 1 and saves its progress
    And "h-2" takes the job over
    Then at "h-2" item 1 goes on after event "40" and the others start anew
    When "h-2" puts out events 41 to 45 of item 1 and lists its result
    Then "h-1" reads events 1 to 45 as the result of item 1
    And the store holds no output of unfinished items

  Scenario: A host that stops while the store is away lists its finished items when the store is back
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And "h-1" finishes item 1 and stops while the store is away for 500 ms
    Then "h-2" reads the results of items 1

  Scenario: Output that a late write brings back is removed with its job
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And the store answers the next commit late
    And "h-1" puts out events 1 to 40 of item 1 and saves its progress
    And "h-1" lists the result of item 1
    And the late commit is applied
    And "h-1" removes the job
    Then the store holds no output of unfinished items

  Scenario: An ended job takes no further results
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And "h-1" lists the result of item 1
    And the caller ends the job at "h-2"
    And "h-1" lists the result of item 0
    Then "h-2" reads the results of items 1

  Scenario: A long output is kept as an object
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items arrives at "h-1"
    And "h-1" lists an output of 120000 bytes for item 0
    Then "h-2" reads an output of 120000 bytes
