Feature: Checks of batch input
  Guards against a job that is accepted although an item cannot run, and against a refusal that does
  not say which lines to correct.

  Scenario: Every malformed line is told with its number
    Given the input lines
      | {"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"olmo"}}          |
      | no JSON                                                                                           |
      | {"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"olmo"}}          |
      | {"custom_id":"b","method":"POST","url":"/v1/embeddings","body":{"model":"olmo"}}                |
      | {"custom_id":"c","method":"POST","url":"/v1/chat/completions","body":{}}                         |
      | {"custom_id":"d","method":"POST","url":"/v1/chat/completions","body":{"model":"other"}}         |
      | {"custom_id":"e","method":"GET","url":"/v1/chat/completions","body":{"model":"olmo"}}           |
      |                                                                                                   |
      | {"custom_id":"f","method":"POST","url":"/v1/chat/completions","body":{"model":"olmo","user":"\u006al_a_secret"}} |
    When the input is checked
    Then the mistakes are on the lines "2, 3, 4, 5, 6, 7, 9"
    And the mistake on line 3 is 'custom_id: "a" is used on line 1'
    And the mistake on line 6 is 'body.model: "other" differs from "olmo" on line 1'

  Scenario: An empty file is refused
    Given no input lines
    When the input is checked
    Then the mistakes are on the lines "0"

  Scenario: A model that no service serves is refused
    Given the input lines
      | {"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"other"}} |
    When the input is checked
    Then the mistake on line 1 is 'body.model: no service serves "other"'

  Scenario: The report of mistakes is bounded
    Given 250 malformed lines
    When the input is checked
    Then 100 mistakes are reported

  Scenario: A job of the largest size keeps each item in one chunk
    Given 53000 items of seed 7 with blank lines between
    When the input is checked
    Then the chunks hold all items in order, 100 in each

  Scenario: One item over the largest size is refused
    Given 53001 items of seed 7 with blank lines between
    When the input is checked
    Then 1 mistakes are reported
