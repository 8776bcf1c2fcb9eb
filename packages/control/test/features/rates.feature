Feature: Rate and burst over the fleet
  Guards against an account that gets more than its rate and burst over all hosts together, and
  against refusals of an account that stays within them.

  Scenario Outline: An account at five times its rate never exceeds rate and burst under faults
    Given a fleet of 9 entry hosts and an account with rate <rate> and burst <burst>, seed <seed>
    When the account sends 5 times its rate for 120 s under random faults
    Then it never got more than its rate and burst

    Examples:
      | rate | burst | seed |
      | 50   | 100   | 1    |
      | 50   | 100   | 2    |
      | 50   | 20    | 3    |
      | 10   | 20    | 4    |
      | 5    | 1     | 5    |

  Scenario: A holder that cannot reach the new home spends its share until it lapses
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate, most of it through "c2"
    And the home crashes while "c2" is cut off
    Then it never got more than its rate and burst

  Scenario: A holder whose answers are lost keeps its larger share
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate, most of it through "c2"
    And the answers to "c2" are lost while the account sends through all hosts
    Then it never got more than its rate and burst

  Scenario: A paused holder finds its share lapsed when it wakes
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate, most of it through "c2"
    And "c2" is paused for 14 s while the account sends nothing
    And the account sends 20 times its rate for 5 s
    Then it never got more than its rate and burst

  Scenario Outline: An account within its rate is hardly refused when its traffic is skewed
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed <seed>
    When the account sends 0.9 times its rate for 120 s, most of it through one host
    Then less than 1 % of its requests are refused
    And it never got more than its rate and burst

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: An account of two hosts that sends nine tenths of its rate is hardly refused
    Given a fleet of 2 entry hosts and an account with rate 20 and burst 40, seed <seed>
    When the account sends 0.9 times its rate for 120 s over all hosts
    Then less than 1 % of its requests are refused
    And it never got more than its rate and burst

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: An account whose requests are spread thinly over many hosts gets its rate
    Given a fleet of 9 entry hosts and an account with rate 5 and burst 10, seed 1
    When the account sends 0.8 times its rate for 120 s over all hosts
    Then less than 5 % of its requests are refused
    And it never got more than its rate and burst

  Scenario: Requests within a share wait for nothing
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.5 times its rate for 60 s over all hosts, after 10 s on them
    Then less than 1 % of its requests wait for the home

  Scenario: Shares serve on through an outage that is longer than they are valid
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.8 times its rate through all hosts
    And the table is down for 60 s
    Then less than 2 % of its requests are refused
    And it never got more than its rate and burst

  Scenario: Holders keep their shares when the home is lost in an outage
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.5 times its rate through all hosts
    And the table is down for 60 s and the home crashes meanwhile
    Then less than 10 % of its requests are refused
    And it never got more than its rate and burst

  Scenario: A lost home does not refuse callers within their shares
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 0.5 times its rate through all hosts
    And the home crashes
    Then less than 5 % of its requests are refused
    And it never got more than its rate and burst

  Scenario: A home that stops hands its free part on
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    And the account sends nothing for 20 s
    When the home stops
    And 4 s pass on the fleet
    Then a request through another host is admitted at once

  Scenario: A lowered rate holds for the whole fleet
    Given a fleet of 9 entry hosts and an account with rate 50 and burst 100, seed 1
    When the account sends 5 times its rate for 20 s
    And an edit lowers its rate to 10 and its burst to 20
    Then it never got more than its rate and burst, from 15 s after the edit on the lower ones
