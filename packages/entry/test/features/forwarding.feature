Feature: Forwarding
  Guards against broken answers given as whole, retries that do harm, and false "not run" (P8, P9, P10).

  Background:
    Given the agents
      | name     | service | domain |
      | engine-1 | chat    | quay   |
      | engine-2 | chat    | quay   |
      | engine-3 | chat    | mole   |
      | ledger-1 | ledger  | quay   |
      | ledger-2 | ledger  | quay   |

  Scenario Outline: A cut stream is never a clean end
    Given each agent always <behaviour>
    When the caller streams a chat
    Then the stream ends with an error event "target-failed"
    And each event of the stream is valid JSON
    And the targets ran 1 request

    Examples:
      | behaviour                             |
      | ends a stream without its final event |
      | cuts a stream within an event         |

  Scenario Outline: A failed answer is retried on another target when the request is repeatable
    Given whichever agent comes first <behaviour>
    When the caller sends a chat
    Then the answer has status 200
    And the answer is whole
    And the targets ran 2 requests

    Examples:
      | behaviour                                  |
      | cuts a whole answer                        |
      | drops the connection                       |
      | answers with the answer of another request |
      | refuses with "target-failed"               |

  Scenario Outline: A failed answer is not retried when the request may run once only
    Given whichever agent comes first <behaviour>
    When the caller posts "{}" to "/orders"
    Then it is refused with "<code>", "outcome unknown"
    And the targets ran 1 request

    Examples:
      | behaviour                                  | code           |
      | cuts a whole answer                        | target-failed  |
      | drops the connection                       | target-failed  |
      | answers with the answer of another request | target-failed  |
      | refuses with "target-crashed"              | target-crashed |

  Scenario: A crossed answer is dropped even when no other target has one
    Given each agent always answers with the answer of another request
    When the caller posts "{}" to "/quotes"
    Then it is refused with "target-failed", "outcome unknown"
    And the caller did not see "secret of"

  Scenario: An answer that is too large for the buffer is not passed on in part
    Given each agent always answers too much
    When the caller posts "{}" to "/quotes"
    Then it is refused with "target-failed", "outcome unknown"

  Scenario Outline: A refusal before the run is tried at another target, also when the request may run once only
    Given whichever agent comes first refuses with "<code>"
    When the caller posts "{}" to "/orders"
    Then the answer has status 200
    And the targets ran 1 request

    Examples:
      | code                      |
      | overloaded                |
      | target-leaving            |
      | stopping                  |
      | no-target                 |
      | configuration-unconfirmed |

  Scenario: An agent that is gone is replaced by another one
    Given "ledger-1" is gone from its address
    When the caller posts "{}" to "/orders"
    Then the answer has status 200
    And the targets ran 1 request

  Scenario: Chats on their way to an agent that was just killed go to the other agents, however many they are
    Given "engine-1" is gone from its address
    When the caller sends 100 chats at once
    Then all 100 answers have status 200
    And the targets ran 100 requests

  Scenario: An overload after an agent that is gone does not end the request while others are free
    Given "engine-1" is gone from its address
    And agent "engine-2" always refuses with "overloaded"
    When the caller sends 10 chats
    Then all 10 answers have status 200

  Scenario: Without any agent the request is not run
    Given "ledger-1" is gone from its address
    And "ledger-2" is gone from its address
    When the caller posts "{}" to "/orders"
    Then it is refused with "no-target", "not run"
    And the targets ran 0 requests
    And 1000 permits are left

  Scenario: An overload is tried at one other target at most
    Given each agent always refuses with "overloaded"
    When the caller sends a chat
    Then it is refused with "overloaded", "not run"
    And the agents saw 2 requests

  Scenario: A refusal after an unknown outcome does not say "not run"
    Given whichever agent comes first drops the connection
    And each other agent refuses with "overloaded"
    When the caller sends a chat
    Then it is refused with "overloaded", "outcome unknown"

  Scenario: Retries are bounded by a part of the requests
    Given each agent always drops the connection
    When the caller sends 20 chats
    Then the agents saw 23 requests

  Scenario: A request that crashes two targets is refused from then on
    Given each agent always refuses with "target-crashed"
    When the caller sends a chat
    Then it is refused with "request-crashed-targets", "outcome unknown"
    And the second attempt was marked as a suspect
    When the caller sends a chat
    Then it is refused with "request-crashed-targets", "not run"
    And the targets ran 2 requests

  Scenario: The deadline of a request ends it
    Given each agent always runs without an answer
    And requests may take 200 ms
    When the caller sends a chat
    Then it is refused with "deadline-passed", "outcome unknown"
    And the targets ran 1 request

  Scenario: A caller that goes away cancels its request at the agent
    Given each agent always holds a stream open
    When the caller begins to stream a chat
    And the caller goes away
    Then some agent sees the request cancelled
