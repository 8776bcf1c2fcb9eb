Feature: Claims and commits of chunks
  Guards against an item whose result is visible twice or not at all, and against a cancelled job
  that goes on.

  Background:
    Given an accepted job of 150 items

  Scenario: Two agents claim one chunk
    When "first" and "second" claim chunk 0 at once
    Then one of them holds chunk 0

  Scenario Outline: The answer of a claim or a commit is lost
    Given the table loses answers and <settling>
    When "first" claims chunk 0
    And "first" commits chunk 0
    Then the commit of "first" is "committed"
    And the results of chunk 0 are those of "first"

    Examples:
      | settling      |
      | settles them  |
      | cannot settle |

  Scenario: A commit is repeated long after its answer was lost
    When "first" claims chunk 0
    And "first" commits chunk 0
    And "first" commits chunk 0
    Then the commit of "first" is "committed"
    And the results of chunk 0 are those of "first"

  Scenario: A holder that was paused past its lease commits after another holder
    When "first" claims chunk 0
    And 61 seconds pass
    And "second" claims chunk 0
    And "second" commits chunk 0
    And "first" commits chunk 0
    Then the commit of "first" is "lost"
    And the results of chunk 0 are those of "second"

  Scenario: A holder that was paused past its lease commits before another holder
    When "first" claims chunk 0
    And 61 seconds pass
    And "second" claims chunk 0
    And "first" commits chunk 0
    And "second" commits chunk 0
    Then the commit of "first" is "lost"
    And the results of chunk 0 are those of "second"

  Scenario: A chunk that is held cannot be claimed, a renewed one neither
    When "first" claims chunk 0
    And 50 seconds pass
    And "first" renews chunk 0
    And 50 seconds pass
    And "second" claims chunk 0
    Then the claim of "second" is "lost"

  Scenario: A renewal that lands late does not shorten the lease
    When "first" claims chunk 0
    And the renewal of "first" lands after its next one, 30 seconds later
    And 50 seconds pass
    And "second" claims chunk 0
    Then the claim of "second" is "lost"

  Scenario: A released chunk is claimed at once and counts no lost holder
    When "first" claims chunk 0
    And "first" releases chunk 0
    And "second" claims chunk 0
    Then "second" has chunk 0 with fencing 2 and 0 lost holders

  Scenario: A recorded item of a lost holder is handed on
    When "first" claims chunk 0
    And "first" records item 7
    And 61 seconds pass
    And "second" claims chunk 0
    Then "second" has chunk 0 with fencing 2 and 1 lost holders
    And "second" knows the crashed items "7"

  Scenario: A cancel comes before a commit
    When "first" claims chunk 0
    And the job is cancelled while "first" commits chunk 0
    Then the commit of "first" is "ended"
    And no results are visible
    And the job is "cancelled" and out of the queue

  Scenario: A cancel comes after a commit
    When "first" claims chunk 0
    And "first" commits chunk 0
    And the job is cancelled
    Then the results of chunk 0 are those of "first"
    And the job is "cancelled" and out of the queue

  Scenario: A cancelled job gives out no chunk
    When the job is cancelled
    And "first" claims chunk 0
    Then the claim of "first" is "ended"

  Scenario: The answer of a cancel is lost and cannot be settled
    Given the table loses answers and cannot settle
    When the job is cancelled
    Then the job is "cancelled" and out of the queue

  Scenario: A job is completed by its last commit
    When "first" claims chunk 0
    And "second" claims chunk 1
    And "first" commits chunk 0
    And "second" commits chunk 1
    And the job is cancelled
    Then the job is "completed" and out of the queue
    And all items are visible once
