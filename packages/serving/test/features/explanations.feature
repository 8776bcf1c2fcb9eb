Feature: Causes for which targets are left out of a choice
  Guards against an operator who is told that a target is full while others use it, or that an item has a slot that is not its
  host's.

  # Guards against causes that differ from the checks of the choice.
  Scenario Outline: A target <state> is left out of <work> requests as <reason>
    Given two targets with 8 slots, of which one <state>
    Then the choice of a target for <work> work leaves it out as "<reason>", and falls on the other one

    Examples:
      | state                        | work   | reason             |
      | has 10 online requests       | online | full               |
      | has 8 online requests        | batch  | full               |
      | has failed                   | online | unhealthy          |
      | has failed                   | batch  | unhealthy          |
      | has slots of other hosts     | batch  | slots-not-assigned |
      | is cold                      | online | cold               |
      | is cold                      | batch  | cold               |
      | has another version          | online | other-version      |
      | has 3 online requests        | batch  | others-preferred   |
