Feature: Catalogues
  Guards against docs that no longer match the code, and against a number that means two things.

  Scenario Outline: The page of a catalogue is up to date
    Then "docs/<page>" is what the catalogue renders

    Examples:
      | page            |
      | result-codes.md |
      | events.md       |
      | counters.md     |

  Scenario: No number is used twice
    Then the numbers of the result codes are distinct
    And the numbers of the log events are distinct

  Scenario: A refusal that may be retried says when
    When a refusal "overloaded" with 7 seconds to come back is rendered
    Then its header "retry-after" is "7"
    And its body says "not run"
