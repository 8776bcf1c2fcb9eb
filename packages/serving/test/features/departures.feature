Feature: Targets that leave, as hosts tell each other
  Guards against work for a target that has told another host that it leaves, and against reports that swell when a
  release replaces half of the targets at once.

  Scenario: A host that hears of a departure sends nothing there
    Given a service with targets "t-1" and "t-2"
    When another host reports that "t-1" leaves
    Then requests and items are sent to "t-2" alone
    When "t-1" is registered as ready again
    Then requests and items are sent to "t-2" alone
    When "t-1" starts anew under its identity
    Then requests and items are sent to "t-1" and "t-2"

  Scenario: When all targets leave there is none, however sick this host's view may be
    Given a service with targets "t-1" and "t-2"
    When another host reports that "t-1" leaves
    And another host reports that "t-2" leaves
    Then requests and items are sent to none

  Scenario Outline: A release of many targets at once
    When <targets> targets tell a host that they leave
    Then <reports> reports of at most 8 departures name all of them

    Examples:
      | targets | reports |
      | 1       | 1       |
      | 8       | 1       |
      | 315     | 40      |

  Scenario: A departure is reported for a while only, and known for longer
    When 3 targets tell a host that they leave
    Then reports after 10 s name none of them
    And all of them are known

  Scenario: Departures of a long life do not add up
    When 5000 targets tell a host that they leave
    Then the newest 2048 are known, and no others

  Scenario: What other hosts report is not reported again
    When another host reports 3 departures
    Then the next report names none of them
