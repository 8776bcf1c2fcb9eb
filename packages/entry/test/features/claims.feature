Feature: Requests that may run at most once
  Guards against a request that runs twice because it is repeated, responses are lost or hosts crash (P10).

  Background:
    Given the agents
      | name     | service |
      | ledger-1 | ledger  |
      | ledger-2 | ledger  |
      | engine-1 | chat    |

  Scenario: A repeated request receives the recorded response
    When the caller sends order "12"
    And the caller sends order "12"
    Then the answer has status 200
    And the answer says "idempotent-replayed": "true"
    And the targets ran 1 request

  Scenario: A request repeated during its run is refused with an unknown outcome
    Given each agent always holds its answer
    When the caller begins to send order "12"
    And the caller sends order "12"
    Then it is refused with "outcome-unknown", "outcome unknown"
    When the held answers are given
    And the caller sends order "12"
    Then the answer says "idempotent-replayed": "true"
    And the targets ran 1 request

  Scenario: A request repeated after a crash of the entry host never runs again
    Given each agent always holds its answer
    When the caller begins to send order "12"
    And the entry host crashes and another one replaces it
    And the held answers are given
    And the caller sends order "12"
    Then it is refused with "outcome-unknown", "outcome unknown"
    And the targets ran 1 request

  Scenario: A caller that disconnects receives the recorded response when it returns
    Given each agent always holds its answer
    When the caller begins to send order "12"
    And the caller goes away
    And the entry host has no open caller connection
    And the held answers are given
    And the claim is recorded
    And the caller comes back
    And the caller sends order "12"
    Then the answer says "idempotent-replayed": "true"
    And the targets ran 1 request

  Scenario: A lost response to the claim is resolved by retries
    Given the table loses 2 responses
    When the caller sends order "12"
    Then the answer has status 200
    And the targets ran 1 request

  Scenario: A request whose claim is not confirmed in time is not forwarded, and a late claim is released
    Given the table delays 1 write
    When the caller sends order "12"
    Then it is refused with "claims-unavailable", "not run"
    And the targets ran 0 requests
    When the delayed writes take effect
    And no claim is left
    And the caller sends order "12"
    Then the answer has status 200
    And the targets ran 1 request

  Scenario: No request runs while claims cannot be written
    Given claims cannot be written
    When the caller sends order "12"
    Then it is refused with "claims-unavailable", "not run"
    And the agents saw 0 requests
    And 1000 permits are left

  Scenario: A repeatable request runs without a claim while the table is down
    Given claims cannot be written
    And the caller sends the header "idempotency-key": "tide-table"
    When the caller sends a chat
    Then the answer has status 200

  Scenario: A host that is paused past the deadline after its claim forwards nothing
    Given "ledger-2" is leaving
    # Opens a connection on which the order could be sent immediately.
    When the caller posts "{}" to "/quotes"
    Given requests may take 100 ms
    And during the next write to the table the host is paused for 150 ms
    When the caller sends order "12"
    Then it is refused with "deadline-passed-in-queue", "not run"
    And the agents saw 1 request

  Scenario: A repeated identity with another body is refused
    When the caller sends order "12"
    And the caller posts '{"order":{"number":"12","ropes":4}}' to "/orders"
    Then it is refused with "identity-reused", "not run"
    When the caller posts '{"order":{"number":12,"ropes":3}}' to "/orders"
    Then it is refused with "identity-reused", "not run"
    And the targets ran 1 request

  Scenario: Field and header both identify a request
    Given the caller sends the header "idempotency-key": "tide-table"
    When the caller sends order "12"
    And the caller sends order "13"
    Then it is refused with "identity-reused", "not run"
    And the targets ran 1 request

  Scenario: An invalid identity is refused
    When the caller posts '{"order":{"number":["12"]}}' to "/orders"
    Then it is refused with "body-invalid", "not run"

  Scenario: A claim whose request did not run is released
    Given each agent always refuses with "overloaded"
    When the caller sends order "12"
    Then it is refused with "overloaded", "not run"
    And no claim is left

  Scenario: A truncated response keeps the claim
    Given whichever agent comes first cuts a whole answer
    When the caller sends order "12"
    Then it is refused with "target-failed", "outcome unknown"
    When the caller sends order "12"
    Then it is refused with "outcome-unknown", "outcome unknown"
    And the targets ran 1 request

  Scenario: A response that cannot be recorded is still sent, and is recorded later
    Given during the next write to the table the table goes down
    When the caller sends order "12"
    Then the answer has status 200
    When claims can be written
    And the claim is recorded
    And the caller sends order "12"
    Then the answer says "idempotent-replayed": "true"
    And the targets ran 1 request

  Scenario Outline: The claim of a crashed host blocks a repeatable request only until the claimed request has ended
    Given the caller sends the header "idempotency-key": "tide-table"
    And each agent always holds its answer
    When the caller begins to send a chat
    And the entry host crashes and another one replaces it
    And each agent always answers
    And the claim records that its request ended <age> s ago
    And the caller sends a chat
    Then the answer has status <status>

    Examples:
      | age | status |
      | 30  | 409    |
      | 61  | 200    |

  Scenario: The claim of a crashed host permanently blocks a request that may run at most once
    Given each agent always holds its answer
    When the caller begins to send order "12"
    And the entry host crashes and another one replaces it
    And the claim records that its request ended 61 s ago
    And the caller sends order "12"
    Then it is refused with "outcome-unknown", "outcome unknown"

  Scenario: A streamed response is replayed with its final event
    Given the caller sends the header "idempotency-key": "tide-table"
    And each agent always streams an answer
    When the caller streams a chat
    And the caller streams a chat
    Then the answer says "idempotent-replayed": "true"
    And the answers are equal
    And the targets ran 1 request

  Scenario Outline: Under random faults no order runs twice and "not run" is always correct
    When 100 orders are sent under random faults with seed <seed>
    Then no order ran twice
    And no request that was refused as "not run" has run

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
