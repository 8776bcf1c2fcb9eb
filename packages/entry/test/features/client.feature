Feature: The unmodified openai client
  Guards against answers that OpenAI-compatible clients cannot read.

  Background:
    Given the agents
      | name     | service |
      | engine-1 | chat    |

  Scenario: Models, a stream and its end
    Given "engine-1" next streams an answer
    Then the openai client lists the model "tide-7b"
    And the openai client streams "salt"

  Scenario: A cut stream is an error for the client
    Given "engine-1" next cuts a stream within an event
    Then the openai client fails while it streams

  Scenario: A refusal is an error with its status
    When the key is withdrawn
    Then the openai client fails with status 401
