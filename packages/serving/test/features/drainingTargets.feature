Feature: Draining targets in reports between hosts
  Guards against sending work to a target that has told another host that it is draining, and against large reports
  when a release replaces half of the targets at once.

  Scenario: A target that another host reports as draining receives no work
    Given a service with targets "t-1" and "t-2"
    When another host reports that "t-1" is draining
    Then requests and items are sent only to "t-2"
    When "t-1" is registered as ready again
    Then requests and items are sent only to "t-2"
    When "t-1" restarts with the same id
    Then requests and items are sent to "t-1" and "t-2"

  Scenario: If all targets are draining, none is chosen, whatever their health
    Given a service with targets "t-1" and "t-2"
    When another host reports that "t-1" is draining
    And another host reports that "t-2" is draining
    Then requests and items are sent to no target

  Scenario Outline: A release drains many targets at once
    When <targets> targets tell a host that they are draining
    Then <reports> reports of at most 8 targets contain all of them

    Examples:
      | targets | reports |
      | 1       | 1       |
      | 8       | 1       |
      | 315     | 40      |

  Scenario: A draining target stays tracked after its reporting time has passed
    When 3 targets tell a host that they are draining
    Then reports after 10 s contain none of them
    And all of them are still tracked

  Scenario: The number of tracked draining targets is limited
    When 5000 targets tell a host that they are draining
    Then only the newest 2048 are tracked

  Scenario: Draining targets reported by other hosts are not reported again
    When another host reports 3 draining targets
    Then the next report contains none of them
