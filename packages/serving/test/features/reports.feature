Feature: Reports in fleets of any size
  Guards against reports that grow with the fleet, hosts that nobody tells of a change, and sums of loads that
  drift away from what hosts said.

  Scenario Outline: What a host sends does not grow with the fleet
    Given <hosts> hosts in <domains> failure domains
    Then each pass reaches every host of the other domains, from each domain once
    And after <hosts> passes without one sender no host has been missed twice in a row
    And a host sends at most <datagrams> datagrams a second

    Examples:
      | hosts | domains | datagrams |
      | 8     | 3       | 110       |
      | 32    | 4       | 200       |
      | 88    | 5       | 200       |
      | 300   | 9       | 200       |
      | 371   | 9       | 200       |

  Scenario Outline: The loads of a target are the sum of what hosts last said
    Given hosts that report loads of 12 targets in 400 random steps, seed <seed>
    Then the sums are those of the newest reports

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Several reports in one datagram
    When two reports are encoded together
    Then both are decoded as they were

  Scenario Outline: A datagram that holds anything else is dropped
    When a datagram holds <content>
    Then no report is decoded

    Examples:
      | content                       |
      | nothing                       |
      | text                          |
      | a report with a field missing |
      | a report with a negative load |
      | a report with a name for a load |
      | a report with a departure without a birth |
