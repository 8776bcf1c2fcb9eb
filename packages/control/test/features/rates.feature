Feature: Fleet-wide rate and burst
  Guards against an account that exceeds its rate and burst over all hosts together, and
  against refusals of an account that stays within them.

  Scenario Outline: An account at five times its rate never exceeds rate and burst under faults
    Given a fleet of 9 entry hosts and an account with rate <rate> and burst <burst>, seed <seed>
    When the account sends 5 times its rate for 120 s under random faults
    Then the account never exceeded its rate and burst

    Examples:
      | rate | burst | seed |
      | 50   | 100   | 1    |
      | 50   | 100   | 2    |
      | 50   | 20    | 3    |
      | 10   | 20    | 4    |
      | 5    | 1     | 5    |

  Scenario: A holder that cannot reach the new home uses its share until it expires
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate, most of it through "c2"
    And the home crashes while "c2" is disconnected from its peers
    Then the account never exceeded its rate and burst

  Scenario: A home counts the larger share of a holder whose responses are lost
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate, most of it through "c2"
    And the responses to "c2" are lost while the account sends through all hosts
    Then the account never exceeded its rate and burst

  Scenario: The share of a paused holder has expired when it resumes
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate, most of it through "c2"
    And "c2" is paused for 14 s while the account sends nothing
    And the account sends 20 times its rate for 5 s
    Then the account never exceeded its rate and burst

  Scenario Outline: An account within its rate is rarely refused when most of its traffic uses one host
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed <seed>
    When the account sends 0.9 times its rate for 120 s, most of it through one host
    Then less than 1 % of its requests are refused
    And the account never exceeded its rate and burst

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: An account that sends nine tenths of its rate through two hosts is rarely refused
    Given a fleet of 2 entry hosts and an account with rate 20 and burst 40, seed <seed>
    When the account sends 0.9 times its rate for 120 s over all hosts
    Then less than 1 % of its requests are refused
    And the account never exceeded its rate and burst

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: An account with few requests on each of many hosts gets its rate
    Given a fleet of 9 entry hosts and an account with rate 5 and burst 10, seed 1
    When the account sends 0.8 times its rate for 120 s over all hosts
    Then less than 5 % of its requests are refused
    And the account never exceeded its rate and burst

  Scenario: Requests within a share do not wait for the home
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.5 times its rate for 60 s over all hosts, after 10 s of the same traffic
    Then less than 1 % of its requests wait for the home

  Scenario: Shares are extended in an outage that is longer than their validity
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.8 times its rate through all hosts
    And the table is down for 60 s
    Then less than 2 % of its requests are refused
    And the account never exceeded its rate and burst

  Scenario: Holders keep their shares when the home crashes in an outage
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.5 times its rate through all hosts
    And the home crashes while the table is down for 60 s
    Then less than 10 % of its requests are refused
    And the account never exceeded its rate and burst

  Scenario: A crash of the home rarely causes refusals of requests within the shares
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.5 times its rate through all hosts
    And the home crashes
    Then less than 5 % of its requests are refused
    And the account never exceeded its rate and burst

  Scenario: A home that stops passes on its free allocation
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    And the account sends nothing for 20 s
    When the home stops
    And 4 s pass on the fleet
    Then a request through another host is admitted at once

  Scenario: A lowered rate applies to the whole fleet
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate for 20 s
    And an edit lowers its rate to 10 and its burst to 20
    Then the account never exceeded its rate and burst, the lower ones from 15 s after the edit on
