Feature: Schedule of requests
  Guards against variants that get different requests, so that their ratio compares two loads.

  Scenario: The same seed gives the same schedule
    Given a schedule of 20 s with seed 7, "web" at 30 per second and "support" at 5 per second
    Then the same plan gives the same schedule
    And seed 8 gives another schedule

  Scenario: Changing one account leaves the requests of the others
    Given a schedule of 20 s with seed 7, "web" at 30 per second and "support" at 5 per second
    When "web" sends 150 per second
    Then the requests of "support" are the same

  Scenario: Gaps are those of the wanted rate
    Given a schedule of 100 s with seed 7, "web" at 30 per second and "support" at 5 per second
    Then "web" sends 3000 requests, give or take 200
    And the gaps of "web" vary as much as their mean, give or take a tenth

  Scenario: Bursts raise the rate only while they last
    Given a schedule of 100 s with seed 7, "web" at 30 per second and "support" at 5 per second
    When "web" sends bursts of 100 per second for 2000 ms in every 10000 ms
    Then "web" sends 4260 requests, give or take 250
    And of those of "web" 1800 fall into bursts, give or take 150

  Scenario: Requests over rate and burst are not counted as within the rate
    Given an account with rate 2 per second and burst 3
    When it sends at 0, 0, 0, 0, 250, 500, 10000 ms
    Then within its rate are: yes, yes, yes, no, no, yes, yes
