Feature: The batch worker
  Guards against items that are lost, run for nothing or visible twice when agents, targets or the
  platform fail in the middle of a chunk.

  Scenario: Impossible, endless and flaky items do not hold the chunk
    Given a job of 240 items where item 3 is "impossible", 4 is "endless", 120 is "flaky" and 121 is "failing"
    And the agent "ana"
    When the agents run the job to its end
    Then each item is visible once
    And the target of "ana" saw item 3 once
    And the target of "ana" saw item 4 3 times
    And the target of "ana" saw item 120 3 times
    And the target of "ana" saw item 121 3 times
    And the target of "ana" had 4 items at once

  Scenario: The holder is killed in the middle of a chunk
    Given a job of 240 items where item 3 is "impossible"
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And "ana" is killed
    And the agent "bea" starts
    And the agents run the job to its end
    Then each item is visible once

  Scenario: The holder is paused past its lease and woken after another agent took over
    Given a job of 90 items where item 3 is "impossible"
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And "ana" is paused
    And the agent "bea" starts
    And the agents run the job to its end
    And "ana" is woken and its target answers
    Then each item is visible once
    And the target of "ana" saw 4 requests

  Scenario: The holder is woken while another agent runs the chunk
    Given a job of 90 items
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And "ana" is paused
    And the agent "bea" starts, whose target keeps its answers back
    And 70 seconds pass
    And "ana" is woken and its target answers
    And the target of "bea" answers
    And the agents run the job to its end
    Then each item is visible once
    And the target of "ana" saw 4 requests
    And the target of "bea" saw 90 requests

  Scenario: Preempted items go back and count no attempt
    Given a job of 60 items where item 3 is "flaky"
    And the agent "ana", whose target keeps its answers back
    When the items in the target of "ana" are preempted 5 times
    And the target of "ana" answers
    And the agents run the job to its end
    Then each item is visible once
    And the target of "ana" saw 82 requests

  Scenario: An item that crashes each target fails alone
    Given a job of 60 items where item 30 is "crash"
    And the agent "ana"
    When the agents run the job to its end
    Then each item is visible once
    And the error of item 30 is "item-crashed-target"
    And the target of "ana" crashed 2 times, at last with item 30 alone

  Scenario: A chunk that cost two hosts runs one item at a time, and the recorded item fails
    Given a job of 20 items where item 5 is "fatal"
    And 2 agents were lost with the first chunk
    And the agent "ana", whose target keeps answers back from item 5 on
    When "ana" has item 5 in its target
    And "ana" is killed
    And the agent "bea" starts
    And the agents run the job to its end
    Then each item is visible once
    And the error of item 5 is "item-crashed-target"
    And the target of "bea" saw item 5 0 times
    And the target of "bea" had 1 items at once

  Scenario Outline: A cancelled job stops
    Given a job of 90 items
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And the job is cancelled and "ana" <hears of it>
    And the target of "ana" answers
    And 60 seconds pass
    Then the target of "ana" saw 4 requests
    And no results are visible

    Examples:
      | hears of it          |
      | gets the notice      |
      | reads the job row    |

  Scenario: A stopping agent ends its items and releases its chunk
    Given a job of 90 items
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And "ana" is stopped and its target answers
    And the agent "bea" starts
    And 5 seconds pass
    Then the target of "ana" saw 4 requests
    And each item is visible once
    And the first chunk was claimed 2 times and counts no lost holder

  Scenario: A holder that cannot renew stops when its lease lapses
    Given a job of 90 items
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And the table is down for 70 seconds
    And the target of "ana" answers
    And the agents run the job to its end
    Then each item is visible once
    And the target of "ana" saw 94 requests

  Scenario: The table is down when a chunk is whole
    Given a job of 90 items
    And the agent "ana", whose target keeps its answers back
    When "ana" has items in its target
    And the table goes down
    And the target of "ana" answers
    And 100 seconds pass
    And the table is up again
    And the agents run the job to its end
    Then each item is visible once
    And the target of "ana" saw 90 requests

  Scenario: A chunk whose target is busy with online requests goes to another agent
    Given a job of 90 items
    And the agent "ana", whose target has no free slot once the chunk is claimed
    And the agent "bea" starts once the chunk is claimed
    When the agents run the job to its end
    Then each item is visible once
    And the target of "bea" saw 90 requests

  Scenario Outline: Agents, targets and answers fail at random
    Given a job of 430 items where item 3 is "impossible", 120 is "flaky" and 121 is "crash"
    When 3 agents run the job while faults of seed <seed> occur
    Then each item is visible once

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
