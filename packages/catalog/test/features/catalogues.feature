Feature: Catalogues
  Guards against documentation that no longer matches the code, and against a number with two meanings.

  Scenario Outline: The page of a catalogue is up to date
    Then "docs/<page>" matches the rendered catalogue

    Examples:
      | page            |
      | result-codes.md |
      | events.md       |
      | counters.md     |

  Scenario: Numbers are unique
    Then the numbers of the result codes are unique
    And the numbers of the log events are unique

  Scenario: A refusal that may be retried states the retry time
    When a refusal "overloaded" with a retry time of 7 seconds is rendered
    Then its header "retry-after" is "7"
    And its run state is "not run"
