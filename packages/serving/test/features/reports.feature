Feature: Load reports in fleets of any size
  Guards against reporting traffic that grows with the fleet, hosts that receive no report of a change, and load totals
  that diverge from the reported loads.

  Scenario Outline: The reporting traffic of a host does not grow with the fleet
    Given <hosts> hosts in <domains> failure domains
    Then in each round every host receives the reports of each other domain once
    And in <hosts> rounds without one sender no host is missed twice in a row
    And a host sends at most <datagrams> datagrams a second

    Examples:
      | hosts | domains | datagrams |
      | 8     | 3       | 110       |
      | 32    | 4       | 200       |
      | 88    | 5       | 200       |
      | 300   | 9       | 200       |
      | 371   | 9       | 200       |

  Scenario Outline: The load of a target is the sum of the latest reports
    Given hosts that report loads of 12 targets in 400 random steps, seed <seed>
    Then the totals match the latest reports

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Several reports in one datagram
    When two reports are encoded together
    Then the decoded reports are equal to the originals

  Scenario Outline: An invalid datagram is dropped
    When a datagram holds <content>
    Then no report is decoded

    Examples:
      | content                       |
      | nothing                       |
      | text                          |
      | a report with a field missing |
      | a report with a negative load |
      | a report with a load that no host can have |
      | a report with a name for a load |
      | a report with a negative work left                   |
      | a report with a load without work left               |
      | a report with a draining target without a start time |
      | a report with a crash without a service              |
      | a report with a stream without a version             |
