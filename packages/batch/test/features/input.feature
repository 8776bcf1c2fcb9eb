Feature: Validation of batch input
  Guards against accepting a job with an item that cannot run, and against a refusal that does not
  state which lines to correct.

  Scenario: Every invalid line is reported with its number
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
    Then the errors are on the lines "2, 3, 4, 5, 6, 7, 9"
    And the error on line 3 is 'custom_id: "a" is used on line 1'
    And the error on line 6 is 'body.model: "other" differs from "olmo" on line 1'

  Scenario: An empty file is refused
    Given no input lines
    When the input is checked
    Then the errors are on the lines "0"

  Scenario: A model that no service serves is refused
    Given the input lines
      | {"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"other"}} |
    When the input is checked
    Then the error on line 1 is 'body.model: no service serves "other"'

  Scenario: The number of reported errors is limited
    Given 250 malformed lines
    When the input is checked
    Then 100 errors are reported

  Scenario: A job of the maximum size has each item in exactly one chunk
    Given 53000 items of seed 7 with blank lines between
    When the input is checked
    Then the chunks contain all items in order, at most 100 in each

  Scenario: A job with one item over the maximum size is refused
    Given 53001 items of seed 7 with blank lines between
    When the input is checked
    Then 1 errors are reported
