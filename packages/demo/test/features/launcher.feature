Feature: The development launcher

  Scenario: SIGINT to the npm process ends every process of the fleet
    Guards against processes that are left running when only npm gets the signal.
    Given a fleet that was started by npm to stay
    When the npm process gets SIGINT
    Then it ends with success and none of its processes is left
