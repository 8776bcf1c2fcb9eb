Feature: Models of the control protocols
  Guards against a protocol that breaks a rule in a state that no schedule of the other tests reaches,
  and against a check that would not notice.

  Scenario: Shares never exceed the burst
    When the model of shares is explored
    Then no rule is broken

  Scenario Outline: A planted fault in the shares is found
    When the model of shares is explored with the fault "<fault>"
    Then the rule "shares exceed the burst" is broken

    Examples:
      | fault              |
      | no-window          |
      | counts-answer-only |
      | lapses-in-outage   |

  Scenario: Versions hold their rules
    When the model of versions is explored
    Then no rule is broken

  Scenario Outline: A planted fault in the versions is found
    When the model of versions is explored with the fault "<fault>"
    Then the rule "<rule>" is broken

    Examples:
      | fault                | rule                            |
      | adopts-lower         | a version went back             |
      | serves-unproven      | a replaced version is served    |
      | commits-without-base | two edits made the same version |
