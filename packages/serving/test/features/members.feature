Feature: Reports of hosts, and takeover of their work
  Guards against ignoring the reports of a restarted host because its wall clock was set back, and against applying
  late reports of earlier processes. Also guards against taking over the work of a process that may still be running,
  and against jobs that are assigned to hosts that can't run them.

  Scenario: Reports of a host that restarted with its clock set back are applied
    Given a host that receives reports
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    Then the last report is taken
    And process 100 of "h-2" is at work
    And process 900 of "h-2" is not at work

  Scenario: A late report of an earlier process is dropped
    Given a host that receives reports
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    And process 900 of "h-2" reports for the 41st time, 60 s after its start
    Then the last report is dropped
    And process 100 of "h-2" is at work

  Scenario: A report that arrives out of order is dropped
    Given a host that receives reports
    When process 900 of "h-2" reports for the 41st time, 60 s after its start
    And process 900 of "h-2" reports for the 40th time, 60 s after its start
    Then the last report is dropped

  Scenario Outline: Work of a host that is unresponsive for a short time is not taken over
    Given a host that receives reports
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And <ms> ms pass
    Then the work of process 900 of "h-2" <may> be given to others

    Examples:
      | ms   | may     |
      | 1600 | may not |
      | 2400 | may not |
      | 2700 | may     |

  Scenario: Work of a process that has ended may be taken over immediately
    Given a host that receives reports
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    Then the work of process 900 of "h-2" may be given to others
    And the work of process 100 of "h-2" may not be given to others

  Scenario Outline: A host that regains the store slightly later than this one keeps its work
    Given a host that receives reports
    And the store recovered <ms> ms ago
    When process 900 of "h-2" reports without contact to the store for 8000 ms
    Then the work of process 900 of "h-2" <may> be given to others

    Examples:
      | ms   | may     |
      | 0    | may not |
      | 2500 | may not |
      | 3500 | may     |

  Scenario Outline: A host that just started waits for the reports of other hosts before a takeover
    Given a host that receives reports
    And the host itself started <ms> ms ago
    Then the work of process 900 of "h-2" <may> be given to others

    Examples:
      | ms   | may     |
      | 600  | may not |
      | 2600 | may     |

  Scenario: The age of a forwarded report counts from its creation
    Given a host that receives reports
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And its next report is forwarded 1400 ms late
    And 1200 ms pass
    Then the last report is taken
    And the work of process 900 of "h-2" may be given to others

  Scenario Outline: Jobs accepted by hosts with few cores are distributed over the hosts with more
    Given hosts with <cores> processors
    When each of them accepts 60 jobs
    Then only hosts <holders> hold jobs, none of them more than <most>

    Examples:
      | cores                  | holders | most |
      | 1.35, 1.35, 1.35       | 1, 2, 3 | 60   |
      | 1.35, 0.24, 1.35, 0.24 | 1, 3    | 140  |
      | 0.24, 0.24             | 1, 2    | 60   |

  Scenario Outline: Work of a process that just replaced another one is not taken over before its first reports are due
    Given a host that receives reports
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

  Scenario: Jobs accepted by a stopping host are run by other hosts from the start
    Given a host that receives reports
    And process 900 of "h-2" registered long ago
    And process 700 of "h-3" registered long ago
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 700 of "h-3" reports for the 40th time, 60 s after its start
    Then jobs that the host accepts are run by h-1
    When the host itself is stopping
    Then jobs that the host accepts are run by h-2 and h-3
    And work can be taken over by "h-2, h-3"

  Scenario: Jobs of a stopping host without local hosts may be claimed by any host immediately
    Given a host that receives reports
    When the host itself is stopping
    Then jobs that the host accepts are run by any host

  Scenario: A stopping host takes over no work
    Given a host that receives reports
    And process 900 of "h-2" registered long ago
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    Then work can be taken over by "h-1, h-2"
    When process 900 of "h-2" reports that it is stopping
    Then work can be taken over by "h-1"
    And process 900 of "h-2" is not at work
    And the work of process 900 of "h-2" may not be given to others

  # Guards against an invalid row that ends every process: reports to a port out of range can't be sent.
  Scenario Outline: A host whose row is invalid gets no reports until the row is repaired, <row>
    Given a host that receives reports
    And process 900 of "h-2" registered long ago
    When the row of "h-2" has <row>
    And process 700 of "h-3" registers
    Then reports are sent to "h-3"
    When process 900 of "h-2" registers
    Then reports are sent to "h-2, h-3"

    Examples:
      | row                   |
      | "port": 65536         |
      | "port": 0             |
      | "port": -1            |
      | "port": 1e999         |
      | "port": "2"           |
      | "address": "h-2"      |
      | "address": "1.2.3.4:5" |
      | "address": ""         |
      | "cores": 1e999        |
      | "incarnation": null   |

  # Guards against a host that gets no reports any more, as it doesn't notice that its row was overwritten.
  Scenario: A host replaces its own row when it has become invalid
    Given a host that receives reports
    When the row of "h-1" has "port": null
    Then the host writes its own row

  # Guards against hosts that nobody sends reports to, as they have no row yet, and that remove the rows of all others for it.
  Scenario Outline: A host removes rows of others only if it could have heard them, own process <own>, rows read <own row> and <row> ms ago
    Given a host that receives reports
    And process <own> of "h-1" has written its row, and the host has read it <own row> ms ago
    And process 7 of "h-2" has written its row, and the host has read it <row> ms ago
    And the last report of process 7 of "h-2" came <report> ms ago
    Then the host <removes or keeps> the row of "h-2"

    Examples:
      | own | own row | row   | report | removes or keeps |
      | 500 | 60000   | 60000 | 11000  | removes          |
      | 500 | 11000   | 11000 | 60000  | removes          |
      | 500 | 60000   | 60000 | 5000   | keeps            |
      | 499 | 60000   | 60000 | 11000  | keeps            |
      | 500 | 3000    | 60000 | 60000  | keeps            |
      | 500 | 60000   | 200   | 60000  | keeps            |

  # Guards against jobs that hosts of an earlier version can't find while hosts are updated.
  Scenario Outline: A host writes keys of the newest format that all hosts support: own row <own>, other row <other>
    Given a host that receives reports
    When the rows of "h-1" and "h-2" state the key formats <own> and <other>
    Then the host uses the key format "<format>"

    Examples:
      | own     | other   | format  |
      | escaped | escaped | escaped |
      | escaped | missing | escaped |
      | escaped | none    | joined  |
      | escaped | joined  | joined  |
      | escaped | later   | joined  |
      | missing | escaped | joined  |
      | missing | missing | joined  |
