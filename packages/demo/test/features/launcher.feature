Feature: The development launcher

  Scenario: SIGINT to the npm process stops every process of the fleet
    Guards against processes that keep running when only npm receives the signal.
    Given a fleet that npm started with --stay
    When the npm process receives SIGINT
    Then it exits with code 0 and none of its processes is still running
