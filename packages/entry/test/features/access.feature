Feature: Keys and accounts
  Guards against a target that sees a caller's key, and against a request that runs for another account
  (P4, P5, P6).

  Background:
    Given the agents
      | name     | service |
      | engine-1 | chat    |
      | ledger-1 | ledger  |

  Scenario Outline: The key never reaches the agent, wherever the caller puts it
    Given the caller sends the header "<header>": "<value>"
    When the caller posts "{}" to "/quotes?size=3&<query>"
    Then the answer has status 200
    And no agent saw the key
    And the agent saw the header "jacinthlug-path": "/quotes?size=3"

    Examples:
      | header              | value                        | query                       |
      | authorization       | Bearer jl_h1_saltmarsh       | key=jl_h1_saltmarsh         |
      | x-api-key           | jl_h1_saltmarsh              | api_key=jl_h1_saltmarsh     |
      | api-key             | jl_h1_saltmarsh              | access_token=jl_h1_saltmarsh |
      | cookie              | session=jl_h1_saltmarsh      | API_KEY=jl_h1_saltmarsh     |
      | proxy-authorization | Basic jl_h1_saltmarsh        | other=jl_h1_saltmarsh       |
      | x-forwarded-key     | jl_h1_saltmarsh              | other=jl%5Fh1_%73altmarsh   |
      | x-trace             | trace-jl%5Fh1_saltmarsh      | jl_h1_saltmarsh=1           |
      | x-jl_h1_saltmarsh   | 1                            | key=1                       |
      | jacinthlug-key      | jl_h1_saltmarsh              | key=1                       |

  Scenario: A key is also removed on an open route
    When the caller posts "{}" to "/notices"
    Then the answer has status 200
    And no agent saw the key

  Scenario: An open route needs no key
    Given the caller shows no key
    When the caller sends GET "/notices"
    Then the answer has status 200

  Scenario Outline: A body that contains the key is refused
    When the caller posts '<body>' to "<path>"
    Then it is refused with "key-in-body", "not run"
    And the agents saw 0 requests

    Examples:
      | path     | body                             |
      | /quotes  | {"note":"jl_h1_saltmarsh"}       |
      | /quotes  | {"note":"jl_h1_saltm\u0061rsh"}  |
      | /quotes  | note=jl%5Fh1_saltmarsh           |
      | /quotes  | {} {"note":"jl_h1_saltm\u0061rsh"} |
      | /notices | {"note":"jl_h1_saltmarsh"}       |

  Scenario: A compressed body, which could contain a key, is refused
    Given the caller sends the header "content-encoding": "gzip"
    When the caller posts "{}" to "/quotes"
    Then it is refused with "body-invalid", "not run"

  Scenario: A missing key is refused
    Given the caller shows no key
    When the caller sends a chat
    Then it is refused with "key-missing", "not run"

  Scenario Outline: A wrong key is refused
    Given the caller sends the header "<header>": "<value>"
    When the caller sends a chat
    Then it is refused with "key-unknown", "not run"
    And the agents saw 0 requests

    Examples:
      | header        | value                  |
      | authorization | Bearer jl_h1_saltmarsz |
      | x-api-key     | jl_h1_another          |

  Scenario: A withdrawn key is refused
    When the key is withdrawn
    And the caller sends a chat
    Then it is refused with "key-unknown", "not run"
    And the agents saw 0 requests

  Scenario: A stream whose key is withdrawn never ends cleanly
    Given "engine-1" next holds a stream open
    When the caller begins to stream a chat
    And the key is withdrawn
    And the pending answer has come
    Then the stream ends with an error event "key-unknown"
    And some agent sees the request cancelled

  Scenario: A stream of a non-repeatable request also ends with an error when its key is withdrawn
    Given "ledger-1" next holds a stream open
    When the caller begins to send order "12"
    And the key is withdrawn
    And the pending answer has come
    Then the stream ends with an error event "key-unknown"

  Scenario: A running non-repeatable request is not aborted when its key is withdrawn
    Given "ledger-1" next holds its answer
    When the caller begins to send order "12"
    And the key is withdrawn and 500 ms pass
    And the held answers are given
    Then the answer has status 200

  Scenario: A request whose key is withdrawn while its claim is written is not forwarded
    Given during the next write to the table the key is withdrawn
    When the caller sends order "12"
    Then it is refused with "key-unknown", "not run"
    And the agents saw 0 requests
    And no claim is left

  Scenario Outline: A request that names another account is refused
    Given the caller sends the header "<header>": "<value>"
    When the caller posts '<body>' to "/quotes"
    Then it is refused with "account-mismatch", "not run"
    And the agents saw 0 requests

    Examples:
      | header              | value      | body                     |
      | openai-organization | lighthouse | {}                       |
      | openai-project      | lighthouse | {}                       |
      | jacinthlug-account  | lighthouse | {}                       |
      | x-trace             | 1          | {"account":"lighthouse"} |

  Scenario: Requests are refused while the configuration is unconfirmed
    Given the configuration is not confirmed
    When the caller sends a chat
    Then it is refused with "configuration-unconfirmed", "not run"
    And the agents saw 0 requests

  Scenario: A request over the rate of its account is refused before a claim is written
    Given the rate of the account is used up
    When the caller sends order "12"
    Then it is refused with "rate-exceeded", "not run"
    And the agents saw 0 requests
    And no claim is left

  Scenario: Operator paths accept only the operator credential
    When the caller sends GET "/operator/v1/probe"
    Then it is refused with "operator-credential-wrong", "not run"
    Given the caller shows the operator credential
    When the caller sends GET "/operator/v1/probe"
    Then the answer has status 200

  Scenario: A HEAD request is not handled by the handler of another method
    When the caller sends HEAD "/v1/chat/completions"
    Then the answer has status 404
    And the agents saw 0 requests

  Scenario: A body over the size limit of the route is refused
    When the caller posts "12345678901234567" to "/small"
    Then it is refused with "body-too-large", "not run"
    And the agents saw 0 requests
    When the caller posts "1234567890123456" to "/small"
    Then the answer has status 200
