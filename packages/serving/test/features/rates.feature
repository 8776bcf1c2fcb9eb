Feature: Fleet-wide rate limits by load reports
  Guards against admitting more requests of an account in any window than its rate, its burst and the tolerated excess
  allow, whether or not its hosts receive each other's reports, and against refusing an account within its limits.

  Scenario Outline: A caller far over its rate stays within the tolerated excess
    Given <hosts> hosts and an account with rate <rate> and burst <burst>, seed <seed>
    And reports reach other hosts after <delay> ms and <loss> % of them are lost
    When the account sends <times> times its rate for 20 s
    Then no window of 5 s has more than the limit with an excess of 0.1 and 20 requests

    Examples:
      | hosts | rate | burst | seed | delay | loss | times |
      | 8     | 32   | 32    | 1    | 10    | 0    | 8     |
      | 8     | 32   | 32    | 2    | 40    | 5    | 8     |
      | 8     | 20   | 40    | 3    | 40    | 5    | 4     |
      | 8     | 100  | 100   | 4    | 20    | 2    | 8     |
      | 40    | 40   | 40    | 5    | 200   | 2    | 8     |

  Scenario: Two groups of hosts without reports from each other share the rate
    Given 8 hosts and an account with rate 32 and burst 32, seed 5
    And reports reach other hosts after 10 ms and 0 % of them are lost
    And 3 hosts are partitioned from the others
    When the account sends 8 times its rate for 20 s
    Then no window of 5 s has more than the limit with an excess of 0.1 and 20 requests

  Scenario: A fleet whose hosts all restart at once does not admit the burst twice
    Given 8 hosts and an account with rate 32 and burst 32, seed 6
    And reports reach other hosts after 10 ms and 0 % of them are lost
    When the account sends 8 times its rate for 20 s and all hosts are restarted after 4, 6 and 12 s
    Then no window of 5 s has more than the limit with an excess of 0.1 and 20 requests

  Scenario: A restarted host does not debit earlier requests of other hosts
    Given 8 hosts and an account with rate 32 and burst 32, seed 8
    And reports reach other hosts after 20 ms and 2 % of them are lost
    When the account sends 0.7 times its rate for 20 s and one host is restarted after 8 s
    Then none of its requests is refused after the first 10 s

  Scenario: A caller within its rate is not refused
    Given 8 hosts and an account with rate 32 and burst 32, seed 7
    And reports reach other hosts after 20 ms and 2 % of them are lost
    When the account sends 0.9 times its rate for 20 s
    Then none of its requests is refused
