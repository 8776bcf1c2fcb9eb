Feature: Batch jobs in the store
  Guards against jobs that are lost or accepted twice, results that change their position, and refusals that
  claim that nothing runs although a write may still be applied. Such faults can occur when the store loses or
  delays responses, or rejects requests.

  Scenario: A job that is submitted to two hosts is accepted once
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And job "j-1" with 3 items is submitted to "h-2"
    Then both are told that it is accepted
    And the store holds 1 job, held by "h-1"

  Scenario: A job is accepted once although the store's response is lost
    Given hosts "h-1" and "h-2" with a store
    And the store loses the response to the next commit
    When job "j-1" with 3 items is submitted to "h-1"
    Then the caller is told that it is accepted
    And the store holds 1 job, held by "h-1"

  # Guards against a caller that waits until its deadline although a repeated write would get through.
  Scenario: A job is accepted although the store never responds to the first commit
    Given hosts "h-1" and "h-2" with a store
    And the store is silent about the next commit
    When job "j-1" with 3 items is submitted to "h-1"
    Then the caller is told that it is accepted
    And the store holds 1 job, held by "h-1"

  Scenario: A refusal does not claim that nothing runs while the store may still apply the acceptance
    Given hosts "h-1" and "h-2" with a store
    And the store does not respond to the next 100 commits and applies them later
    When job "j-1" with 3 items is submitted to "h-1"
    Then the caller is refused with "deadline-passed"

  Scenario: A refusal claims that nothing runs if the store rejects the request
    Given hosts "h-1" and "h-2" with a store
    And the store is down
    When job "j-1" with 3 items is submitted to "h-1"
    Then the caller is refused with "platform-unavailable"
    And the store holds 0 jobs

  Scenario: Hosts that accept jobs at the same time enforce the token limit of an account together
    Given hosts "h-1" and "h-2" with a store
    And accounts may have 450 tokens waiting
    When job "j-1" with 3 items is submitted to "h-1"
    And job "j-2" with 3 items is submitted to "h-2", which does not know the other job
    Then the caller is refused with "job-over-limit"

  Scenario: Results keep their position when the response to a write is lost
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the store loses the response to the next commit
    And "h-1" stores the result of item 2
    And "h-1" stores the result of item 0
    Then "h-2" reads the results of items 2, 0

  Scenario: A result is stored once although its host learns of the write before repeating it
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the store loses the response to the next commit
    And "h-1" stores the result of item 2 and learns of it from the store before repeating the write
    Then "h-2" reads the results of items 2

  Scenario: A host whose job was taken over stores no further results
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-2" takes over the job
    And "h-1" stores the result of item 1
    And "h-2" stores the result of item 0
    Then "h-2" reads the results of items 0

  Scenario: The host that takes a job over continues from the output of the failed one
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-1" outputs events 1 to 40 of item 1 and saves its progress
    And "h-2" takes over the job
    Then at "h-2" item 1 resumes after event "40" and the others start from the beginning
    When "h-2" outputs events 41 to 45 of item 1 and stores its result
    Then "h-1" reads events 1 to 45 as the result of item 1
    And the store holds no saved output of unfinished items

  # Guards against a job of an added route that is given up by a host which has heard of the job, and not yet of the route.
  Scenario Outline: A job is given up only by a host that can tell that its route was removed
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-1", whose configuration <version> lacks the route, looks for jobs
    Then it <outcome>

    Examples:
      | version | outcome          |
      | 1       | keeps the job    |
      | 2       | gives the job up |
      | 3       | gives the job up |

  Scenario: A host that stops while the store is unavailable stores its results once the store has recovered
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-1" finishes item 1 and stops while the store is unavailable for 500 ms
    Then "h-2" reads the results of items 1

  Scenario: Saved output that a delayed write restores is removed with its job
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the store delays the next commit
    And "h-1" outputs events 1 to 40 of item 1 and saves its progress
    And "h-1" stores the result of item 1
    And the delayed commit is applied
    And "h-1" removes the job
    Then the store holds no saved output of unfinished items

  # Guards against items that are completed with the output of an earlier job, whose id a caller has used again.
  Scenario: A job is not resumed after the saved output of an earlier job with the same id
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the store delays the next commit
    And "h-1" outputs events 1 to 40 of item 1 and saves its progress
    And "h-1" removes the job
    And the delayed commit is applied
    And job "j-1" with 3 items is submitted to "h-1", which does not know the other job
    And "h-2" takes over the job
    Then at "h-2" all items start from the beginning

  # Guards against output that is lost when hosts are updated.
  Scenario: A job is resumed after output that an earlier version of the host has saved
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-1" outputs events 1 to 40 of item 1 and saves its progress as earlier versions do
    And "h-2" takes over the job
    Then at "h-2" item 1 resumes after event "40" and the others start from the beginning

  Scenario Outline: An item whose runs were ended by failures of targets runs again soon after the failures
    When <runs> runs of an item in a row end as <outcome>
    Then the item has no final state, and can run again within 3000 ms

    Examples:
      | runs | outcome         |
      | 3    | lost connection |
      | 12   | lost connection |
      | 40   | lost connection |
      | 12   | broken response |
      | 12   | refused         |
      | 12   | silent          |

  # Guards against an item that is completed with a part of its output, after responses that ended as those of crashed targets.
  Scenario Outline: An item isn't completed by ends of connections that no target confirms with an event
    When targets respond in turn to the runs of an item: <responses>
    Then the item has <state>

    Examples:
      | responses                                           | state                        |
      | to event 3                                          | no final state               |
      | to event 3; nothing                                 | no final state               |
      | to event 3; nothing; nothing; nothing               | no final state               |
      | to event 3, broken; nothing                         | no final state               |
      | to event 3; nothing, stated                         | no final state               |
      | to event 3; to event 7                              | no final state               |
      | to event 1; nothing; to event 1                     | no final state               |
      | saved to event 3; nothing; nothing                  | no final state               |
      | to event 3; to event 3 of another version           | no final state               |
      | to event 3; to event 3 of another service           | no final state               |
      | to event 3; to event 3 | no final state |
      | to event 3; to event 3 at t-2 | no final state |
      | to event 3; to event 3; to event 3; to event 3 | no final state |
      | to event 3; to event 3 at t-2; to event 7 at t-2 | no final state |
      | to event 3; to event 3 at t-2; nothing, broken; to event 3 | no final state |
      | to event 3; to event 3 at t-2; to event 3 | completed with events 1 to 3 |
      | to event 3; to event 3; to event 3 at t-2 | completed with events 1 to 3 |
      | to event 3; to event 3; to event 3; to event 3; to event 3 | completed with events 1 to 3 |
      | to event 3; nothing; to event 3 at t-2; to event 3 | completed with events 1 to 3 |
      | to event 3; to event 7; to event 7 at t-2; to event 7 | completed with events 1 to 7 |
      | to event 3; nothing; to event 7, stated             | completed with events 1 to 7 |
      | to event 3; nothing, stated; to event 3, stated     | completed with events 1 to 3 |
      | to event 3; to event 3, stated                      | completed with events 1 to 3 |
      | to event 3, broken; nothing; to event 3; to event 3 at t-2; to event 3 | completed with events 1 to 3 |
      | to event 3, broken; nothing, stated                 | completed with events 1 to 3 |
      | to event 1; to event 1 at t-2; to event 1 | completed with events 1 to 1 |
      | to event 3 and an id; to event 3 at t-2 and an id; to event 3 and an id | completed with events 1 to 3 |
      | to event 3 and an id; nothing; to event 3 at t-2 and an id; to event 3 and an id | completed with events 1 to 3 |
      | saved to event 3; nothing; to event 3; to event 3 at t-2; to event 3 | completed with events 1 to 3 |
      | saved to event 3; to event 5; to event 5 at t-2; to event 5 | completed with events 1 to 5 |

  # Guards against a caller that gives its job up, as a row that a host can't read counts as absent.
  Scenario Outline: A caller that <call> at "<host>" is not told that it is absent although its row can't be read
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the row of the job becomes unreadable
    And a caller <call> at "<host>"
    Then the caller is refused with "platform-unavailable"

    Examples:
      | call                 | host |
      | reads the job        | h-2  |
      | tries to end the job | h-2  |
      | tries to end the job | h-1  |

  # Guards against a submission that is sent to the store again and again, as the row of its job can't be read.
  Scenario: A repeated submission is accepted although the row of the job can't be read
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the row of the job becomes unreadable
    And job "j-1" with 3 items is submitted to "h-2", which does not know the other job
    Then both are told that it is accepted

  # Guards against the end of a job that is told to have done nothing, as only its repeated write is rejected.
  Scenario: The refusal of an end does not claim that nothing was done while the store may still apply the write
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And the store does not respond to the next 1 commits and applies them later
    And the store rejects the 100 commits after these
    And a caller tries to end the job at "h-1"
    Then the caller is refused with "deadline-passed"

  Scenario: An ended job gets no further results
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-1" stores the result of item 1
    And the caller ends the job at "h-2"
    And "h-1" stores the result of item 0
    Then "h-2" reads the results of items 1

  Scenario: A long output is stored as an object
    Given hosts "h-1" and "h-2" with a store
    When job "j-1" with 3 items is submitted to "h-1"
    And "h-1" stores an output of 120000 bytes for item 0
    Then "h-2" reads an output of 120000 bytes
