Feature: Batch items between pulses of online requests
  The load: online requests fill 70 % of the slots for 2.8 s, 15 % for the next 3.8 s, and so on. Items run for longer than that.

  # Guards against items that wait for pulses which don't come, and against those that start in pulses as none was noticed.
  Scenario Outline: Pulses are found <case>
    Given pulses from 0.15 to 0.7 of the slots for 2800 ms, every 6600 ms from 3800 ms on, observed from <from> ms
    Then at <now> ms a pulse in progress ends at "<ends>" and the next one rises at "<rises>"

    Examples:
      | case                                             | from | now   | ends  | rises |
      | not before the first one                         | 0    | 3700  | none  | none  |
      | in the first one, whose length is not known      | 0    | 5000  | 7800  | never |
      | after the first one, whose interval is not known | 0    | 8000  | -     | never |
      | in the second one                                | 0    | 11000 | 13200 | 17000 |
      | after several                                    | 0    | 48000 | -     | 50000 |
      | not in the one in which the host has started     | 4000 | 6000  | none  | none  |
      | in the next one after that                       | 4000 | 11000 | 14400 | never |

  # Guards against items that wait beside free slots for a pulse that doesn't come.
  Scenario: A pulse that is overdue is expected no longer
    Given pulses from 0.15 to 0.7 of the slots for 2800 ms, every 6600 ms from 3800 ms on, observed from 0 ms
    When the pulses cease at 30000 ms
    Then at 30300 ms a pulse in progress ends at "-" and the next one rises at "30300"
    And at 31000 ms a pulse in progress ends at "-" and the next one rises at "never"

  # Guards against a single sample that holds items back.
  Scenario: One sample of a high load begins no pulse
    Given a load of 0.15 of the slots that rises to 0.7 at 3800 ms and stays there
    Then at 3800 ms no pulse is found
    And at 3900 ms a pulse is found

  # Guards against items that wait for the end of a load that stays high.
  Scenario: A load that rises once and stays high is no pulse
    Given a load of 0.15 of the slots that rises to 0.7 at 3800 ms and stays there
    Then at 5000 ms a pulse is found
    And at 10000 ms no pulse is found

  # Guards against forecasts from a load that only fluctuates.
  Scenario: A load that fluctuates has no pulses
    Given a load that changes between 0.3 and 0.4 of the slots every 200 ms
    Then at 20000 ms no pulse is found

  # Guards against items that are cut as soon as they have started, and against items that are late because they waited.
  Scenario Outline: An item with <run> ms to run that is due in <due> ms is <urgency> <when> if others need <backlog> ms before it
    Given pulses of 2800 ms after valleys of 3800 ms, with 0.7 of the slots in use
    When an item has <run> ms to run, is due in <due> ms and <when>
    Then it is <urgency> if others need <backlog> ms before it

    Examples:
      | run  | due   | when                      | backlog | urgency |
      | 4400 | 18000 | a pulse begins            | 2000    | patient |
      | 4400 | 18000 | a pulse begins            | 4500    | relaxed |
      | 4400 | 13000 | a pulse begins            | 0       | relaxed |
      | 4400 | 13000 | a pulse ends in 1000 ms   | 0       | patient |
      | 4400 | 8000  | a pulse ends in 1000 ms   | 0       | urgent  |
      | 4400 | 18000 | a pulse begins in 3000 ms | 0       | relaxed |
      | 4400 | 18000 | a pulse begins in 300 ms  | 0       | patient |
      | 200  | 18000 | a pulse begins in 300 ms  | 0       | relaxed |
      | 4400 | 18000 | no pulse is known         | 0       | relaxed |

  # Guards against items on the slots that a target needs in the peaks of a pulse, and against large targets without items.
  Scenario Outline: Slots last through a pulse if the fluctuation of the load doesn't reach them
    Given pulses of 2800 ms after valleys of 3800 ms, with <level> of the slots in use
    Then <lasting> slots of a target of <slots> last through a pulse

    Examples:
      | level | slots | lasting |
      | 0.7   | 8     | 0       |
      | 0.4   | 8     | 3       |
      | 0.7   | 64    | 12      |
      | 1     | 8     | 0       |

  # Guards against an item that is cut just before its end, and against an item that is late because it was cut.
  Scenario: A pulse first cuts late items, then those with the longest remaining run that stay in time
    Given pulses of 2800 ms after valleys of 3800 ms, with 0.7 of the slots in use
    Then a pulse that begins cuts items with these remaining runs and due times in the order "late, long, ending, tight"
      | item   | run  | due   |
      | ending | 200  | 16000 |
      | tight  | 4000 | 9000  |
      | long   | 4000 | 16000 |
      | late   | 4000 | 3000  |

  # Guards against items on slots that the pulse needs, and against items that wait though their target has no pulses or too few slots.
  Scenario Outline: A host in a pulse, with <state>, takes an item for <urgency>
    Given a host that has seen 3 pulses at its 4 targets of 16 slots, and is in the 4th one, with <state>
    When an item of <services> runs for 4400 ms and is due in 18000 ms
    Then the host takes it for <urgency>, and may use <slots> slots of each target for patient items

    Examples:
      | state                         | services      | urgency | slots |
      | no items                      | chat          | patient | 5     |
      | 3 running items at each       | chat          | patient | 2     |
      | 30 waiting items elsewhere    | chat          | patient | 5     |
      | 400 waiting items elsewhere   | chat          | relaxed | 5     |
      | 3 of its targets evacuated, 30 waiting items elsewhere | chat | relaxed | 5 |
      | no items                      | chat and idle | relaxed | 5     |
      | no items, and the policy eager | chat         | relaxed | Infinity |
