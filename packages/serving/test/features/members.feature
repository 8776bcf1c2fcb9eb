Feature: Reports of hosts that start anew
  Guards against hosts that stay unheard after a restart because their wall clock was set back, and against
  late reports of processes that are gone.

  Scenario: A host that was started again with its clock set back is heard
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    Then the last report is taken
    And process 100 of "h-2" is at work
    And process 900 of "h-2" is not at work

  Scenario: A late report of an earlier process is dropped
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    And process 900 of "h-2" reports for the 41st time, 60 s after its start
    Then the last report is dropped
    And process 100 of "h-2" is at work

  Scenario: A report that another one has overtaken is dropped
    Given a host that hears others
    When process 900 of "h-2" reports for the 41st time, 60 s after its start
    And process 900 of "h-2" reports for the 40th time, 60 s after its start
    Then the last report is dropped

  Scenario Outline: Work of a host that is only silent or slow for a while stays where it is
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And <ms> ms pass
    Then the work of process 900 of "h-2" <may> be given to others

    Examples:
      | ms   | may     |
      | 1600 | may not |
      | 2400 | may not |
      | 2700 | may     |

  Scenario: Work of a process that has ended is given to others at once
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    Then the work of process 900 of "h-2" may be given to others
    And the work of process 100 of "h-2" may not be given to others

  Scenario Outline: A host that regains the store a little later than this one keeps its work
    Given a host that hears others
    And the store came back <ms> ms ago
    When process 900 of "h-2" reports without contact to the store for 8000 ms
    Then the work of process 900 of "h-2" <may> be given to others

    Examples:
      | ms   | may     |
      | 0    | may not |
      | 2500 | may not |
      | 3500 | may     |

  Scenario Outline: A host that just started waits until it can have heard the others
    Given a host that hears others
    And the host itself started <ms> ms ago
    Then the work of process 900 of "h-2" <may> be given to others

    Examples:
      | ms   | may     |
      | 600  | may not |
      | 2600 | may     |

  Scenario: A report that another host passes on counts from when it was written
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And its next report is passed on 1400 ms late
    And 1200 ms pass
    Then the last report is taken
    And the work of process 900 of "h-2" may be given to others

  Scenario Outline: A weak host hands the jobs that it accepts to strong ones, which share them out
    Given hosts with <cores> processors
    When each of them accepts 60 jobs
    Then only hosts <holders> hold jobs, none of them more than <most>

    Examples:
      | cores                  | holders | most |
      | 1.35, 1.35, 1.35       | 1, 2, 3 | 60   |
      | 1.35, 0.24, 1.35, 0.24 | 1, 3    | 140  |
      | 0.24, 0.24             | 1, 2    | 60   |

  Scenario Outline: Work of a process that just replaced one that was heard stays where it is until it can have been heard
    Given a host that hears others
    And process 900 of "h-2" registered long ago
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" registers
    And <ms> ms pass
    Then the work of process 100 of "h-2" <may> be given to others
    And the work of process 900 of "h-2" may be given to others

    Examples:
      | ms   | may     |
      | 300  | may not |
      | 2600 | may     |

  Scenario: Jobs that come while their host stops are run by others from the start
    Given a host that hears others
    And process 900 of "h-2" registered long ago
    And process 700 of "h-3" registered long ago
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 700 of "h-3" reports for the 40th time, 60 s after its start
    Then jobs that the host accepts are run by h-1
    When the host itself stops
    Then jobs that the host accepts are run by h-2 and h-3
    And work falls to "h-2, h-3"

  Scenario: Jobs of a stopping host that has nobody near are free at once
    Given a host that hears others
    When the host itself stops
    Then jobs that the host accepts are run by whoever sees them first

  Scenario: Work of a host that is gone does not fall to one that stops
    Given a host that hears others
    And process 900 of "h-2" registered long ago
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    Then work falls to "h-1, h-2"
    When process 900 of "h-2" says that it stops
    Then work falls to "h-1"
    And process 900 of "h-2" is not at work
    And the work of process 900 of "h-2" may not be given to others
