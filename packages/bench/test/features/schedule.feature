Feature: Schedule of requests
  Guards against variants that receive different requests, so that their ratio compares different
  loads.

  Scenario: The same seed produces the same schedule
    Given a schedule of 20 s with seed 7, "web" at 30 per second and "support" at 5 per second
    Then the same plan produces the same schedule
    And seed 8 produces another schedule

  Scenario: A change of one account does not change the requests of the others
    Given a schedule of 20 s with seed 7, "web" at 30 per second and "support" at 5 per second
    When "web" sends 150 per second
    Then the requests of "support" are the same

  Scenario: Gaps are exponentially distributed with the configured rate
    Given a schedule of 100 s with seed 7, "web" at 30 per second and "support" at 5 per second
    Then "web" sends 3000 requests, plus or minus 200
    And the standard deviation of the gaps of "web" is within a tenth of their mean

  Scenario: Bursts raise the rate only for their duration
    Given a schedule of 100 s with seed 7, "web" at 30 per second and "support" at 5 per second
    When "web" sends bursts of 100 per second for 2000 ms in every 10000 ms
    Then "web" sends 4260 requests, plus or minus 250
    And "web" sends 1800 of its requests in bursts, plus or minus 150

  Scenario: Requests beyond the rate and burst do not count as within the rate
    Given an account with rate 2 per second and burst 3
    When it sends at 0, 0, 0, 0, 250, 500, 10000 ms
    Then within its rate are: yes, yes, yes, no, no, yes, yes
