Feature: The unmodified openai client
  Guards against responses that OpenAI-compatible clients cannot read.

  Background:
    Given the agents
      | name     | service |
      | engine-1 | chat    |

  Scenario: The client lists models and reads a stream to its end
    Given "engine-1" next streams an answer
    Then the openai client lists the model "tide-7b"
    And the openai client receives the streamed text "salt"

  Scenario: A truncated stream raises an error in the client
    Given "engine-1" next cuts a stream within an event
    Then the openai client fails while streaming

  Scenario: A refusal raises an error with its status
    When the key is withdrawn
    Then the openai client fails with status 401
