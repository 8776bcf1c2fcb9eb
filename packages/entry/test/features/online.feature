Feature: Online requests
  Guards against requests that are lost or sent to the wrong target, and truncated answers that look complete.

  Background:
    Given the agents
      | name     | service |
      | engine-1 | chat    |
      | ledger-1 | ledger  |

  Scenario: A chat completion of the target is returned completely
    When the caller sends a chat
    Then the answer has status 200
    And the answer comes from "engine-1"
    And the agent saw the header "jacinthlug-account": "harbor"
    And the agent saw the header "jacinthlug-key": "h1"
    And the agent saw the header "jacinthlug-generation": "7"

  Scenario: A streamed chat completion ends after its final event
    Given "engine-1" next streams an answer
    When the caller streams a chat
    Then the answer has status 200
    And the answer is complete

  Scenario: A request on a declared route is sent to its plain service
    When the caller posts "{}" to "/quotes?size=3"
    Then the answer comes from "ledger-1"
    And the agent saw the header "jacinthlug-path": "/quotes?size=3"

  Scenario: An undeclared path is refused
    When the caller posts "{}" to "/nowhere"
    Then it is refused with "route-unknown", "not run"
    And the agents saw 0 requests

  Scenario: A model that no service serves is refused
    When the caller posts '{"model":"none","messages":[{}]}' to "/v1/chat/completions"
    Then it is refused with "model-unknown", "not run"

  Scenario: The models of the configuration are listed
    When the caller sends GET "/v1/models"
    Then the answer has status 200
    When the caller sends GET "/v1/models/tide-7b"
    Then the answer has status 200
    When the caller sends GET "/v1/models/other"
    Then it is refused with "model-unknown", "not run"
