Feature: Forwarding
  Guards against truncated answers that look complete, harmful retries and wrong "not run" reports (P8, P9, P10).

  Background:
    Given the agents
      | name     | service | domain |
      | engine-1 | chat    | quay   |
      | engine-2 | chat    | quay   |
      | engine-3 | chat    | mole   |
      | ledger-1 | ledger  | quay   |
      | ledger-2 | ledger  | quay   |

  Scenario Outline: A stream that is cut never ends like a complete stream
    Given each agent always <behaviour>
    When the caller streams a chat
    Then the stream ends with an error event "target-failed"
    And each event of the stream is valid JSON
    And the targets ran 1 request

    Examples:
      | behaviour                             |
      | ends a stream without its final event |
      | cuts a stream within an event         |

  Scenario Outline: A failed attempt is retried on another target if the request is repeatable
    Given whichever agent comes first <behaviour>
    When the caller sends a chat
    Then the answer has status 200
    And the answer is complete
    And the targets ran 2 requests

    Examples:
      | behaviour                                  |
      | cuts a whole answer                        |
      | drops the connection                       |
      | answers with the answer of another request |
      | answers with status 000                    |
      | answers with status 999                    |
      | refuses with "target-failed"               |

  Scenario Outline: A failed attempt is not retried if the request may run only once
    Given whichever agent comes first <behaviour>
    When the caller posts "{}" to "/orders"
    Then it is refused with "<code>", "outcome unknown"
    And the targets ran 1 request

    Examples:
      | behaviour                                  | code           |
      | cuts a whole answer                        | target-failed  |
      | drops the connection                       | target-failed  |
      | answers with the answer of another request | target-failed  |
      | answers with status 000                    | target-failed  |
      | answers with status 999                    | target-failed  |
      | refuses with "target-crashed"              | target-crashed |

  Scenario: The answer of another request is discarded even if no other target answers
    Given each agent always answers with the answer of another request
    When the caller posts "{}" to "/quotes"
    Then it is refused with "target-failed", "outcome unknown"
    And the caller did not see "secret of"

  Scenario: An answer that exceeds the buffer limit is not passed on in part
    Given each agent always sends an oversized answer
    When the caller posts "{}" to "/quotes"
    Then it is refused with "target-failed", "outcome unknown"

  Scenario Outline: A request that was refused before it ran is retried on another target, even if it may run only once
    Given whichever agent comes first refuses with "<code>"
    When the caller posts "{}" to "/orders"
    Then the answer has status 200
    And the targets ran 1 request

    Examples:
      | code                      |
      | overloaded                |
      | bodies-over-memory        |
      | target-leaving            |
      | stopping                  |
      | no-target                 |
      | configuration-unconfirmed |

  Scenario: A request is sent to another agent if the first one is unreachable
    Given "ledger-1" is unreachable
    When the caller posts "{}" to "/orders"
    Then the answer has status 200
    And the targets ran 1 request

  Scenario: Any number of chats that are sent to an agent that was just killed are retried on other agents
    Given "engine-1" is unreachable
    When the caller sends 100 chats at once
    Then all 100 answers have status 200
    And the targets ran 100 requests

  Scenario: An overload after an unreachable agent does not end the request while other agents are free
    Given "engine-1" is unreachable
    And agent "engine-2" always refuses with "overloaded"
    When the caller sends 10 chats
    Then all 10 answers have status 200

  Scenario: A request is not run if no agent is reachable
    Given "ledger-1" is unreachable
    And "ledger-2" is unreachable
    When the caller posts "{}" to "/orders"
    Then it is refused with "no-target", "not run"
    And the targets ran 0 requests
    And 1000 permits are left

  Scenario: An overload is retried on at most one other target
    Given each agent always refuses with "overloaded"
    When the caller sends a chat
    Then it is refused with "overloaded", "not run"
    And the agents saw 2 requests

  Scenario: A refusal after an attempt with an unknown outcome does not report "not run"
    Given whichever agent comes first drops the connection
    And each other agent refuses with "overloaded"
    When the caller sends a chat
    Then it is refused with "overloaded", "outcome unknown"

  Scenario: Retries are limited to a fraction of the requests
    Given each agent always drops the connection
    When the caller sends 20 chats
    Then the agents saw 23 requests

  Scenario: A request that crashed two targets is refused from then on
    Given each agent always refuses with "target-crashed"
    When the caller sends a chat
    Then it is refused with "request-crashed-targets", "outcome unknown"
    And the second attempt was marked as a suspect
    When the caller sends a chat
    Then it is refused with "request-crashed-targets", "not run"
    And the targets ran 2 requests

  Scenario: A request ends at its deadline
    Given each agent always runs without an answer
    And requests may take 200 ms
    When the caller sends a chat
    Then it is refused with "deadline-passed", "outcome unknown"
    And the targets ran 1 request

  Scenario: A request is cancelled at the agent when its caller disconnects
    Given each agent always holds a stream open
    When the caller begins to stream a chat
    And the caller goes away
    Then some agent sees the request cancelled
