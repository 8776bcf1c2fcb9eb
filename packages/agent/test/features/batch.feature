Feature: The batch worker
  Guards against items that are lost, run for nothing or visible twice when agents, targets or the
  platform fail in the middle of a chunk. Events happen in the order given.

  Scenario Outline: <case>
    Given a job of <items>
    When these happen: <events>
    Then each item is visible once
    And these hold: <facts>

    Examples: Items and targets fail
      | case                                    | items                                                                                              | events                                             | facts |
      | Impossible items do not hold the chunk  | 240 items where item 3 is "impossible", 4 is "endless", 120 is "flaky" and 121 is "failing"          | ana starts; the job ends                           | ana saw 3 1 times; ana saw 4 3 times; ana saw 120 3 times; ana saw 121 3 times; ana had 4 at once |
      | An item crashes each target             | 60 items where item 30 is "crash"                                                                  | ana starts; the job ends                           | the error of 30 is item-crashed-target; ana crashed 2 times, at last with 30 alone |
      | Preempted items count no attempt        | 60 items where item 3 is "flaky"                                                                   | ana starts holding; 5 preemptions at ana; ana answers; the job ends | ana saw 82 requests |
      | A busy target lets its chunk go         | 90 items                                                                                           | ana starts without slots; bea starts; the job ends | bea saw 90 requests |

    Examples: Holders fail
      | case                                    | items                                    | events                                                                                                          | facts |
      | A holder is killed in a chunk           | 240 items where item 3 is "impossible"   | ana starts holding; ana is full; ana pauses; bea starts; the job ends                                           | ana saw 4 requests |
      | A holder is woken after another's commit | 90 items where item 3 is "impossible"   | ana starts holding; ana is full; ana pauses; bea starts; the job ends; ana wakes with answers                   | ana saw 4 requests |
      | A holder is woken during another's run  | 90 items                                 | ana starts holding; ana is full; ana pauses; bea starts holding; 70 s pass; ana wakes with answers; bea answers; the job ends | ana saw 4 requests; bea saw 90 requests |
      | A chunk cost two hosts                  | 20 items where item 5 is "fatal"         | 2 holders are lost; ana starts, holding from 5 on; ana has 5; ana pauses; bea starts; the job ends              | the error of 5 is item-crashed-target; bea saw 5 0 times; bea had 1 at once |
      | A holder stops                          | 90 items                                 | ana starts holding; ana is full; ana stops with answers; bea starts; 5 s pass                                   | ana saw 4 requests; 2 claims and 0 lost holders |

    Examples: The table fails
      | case                                    | items                                    | events                                                                                                          | facts |
      | A holder cannot renew                   | 90 items                                 | ana starts holding; ana is full; the table goes down; 70 s pass; the table comes up; ana answers; the job ends  | ana saw 94 requests |
      | A holder cannot commit                  | 90 items                                 | ana starts holding; ana is full; the table goes down; ana answers; 100 s pass; the table comes up; the job ends | ana saw 90 requests |

  Scenario Outline: A cancelled job stops when <way>
    Given a job of 90 items
    When these happen: ana starts holding; ana is full; the job is cancelled; <way>; ana answers; 60 s pass
    Then no results are visible
    And these hold: ana saw 4 requests

    Examples:
      | way                   |
      | ana gets the notice   |
      | 5 s pass              |

  Scenario Outline: Agents, targets and answers fail at random, seed <seed>
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
