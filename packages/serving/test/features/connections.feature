Feature: Connections to targets
  Guards against requests that end without a response, as no connection to their target can be opened.

  # Guards against an error of the HTTP client that is thrown in place of a failed attempt.
  Scenario Outline: An attempt at an invalid address is a failed attempt that has not run: "<address>"
    When a request is sent to a target at "<address>"
    Then the attempt ends as not run, and the target counts as failing

    Examples:
      | address         |
      | 127.0.0.1:99999 |
      | 127.0.0.1:-1    |
      | 127.0.0.1:0     |
      | 999.1.1.1:80    |
      | ....:1          |
      | 1.2.3.4:80:90   |
      |                 |

  # Guards against requests that one host passes on and another one rejects, as the parser of Node.js differs by processor.
  Scenario Outline: The head of a request for "<target>" is <verdict>
    Then the head of a request for "<target>" is <verdict>

    Examples:
      | target       | verdict |
      | /query/a?b=c | valid   |
      | /query/%C3   | valid   |
      | /query/é     | invalid |
      | /query/a b   | invalid |
      | /query/\u007f | invalid |

  # Guards against requests that fail as the bytes of earlier responses on their connection count for them.
  Scenario: A connection carries many responses
    When 200 requests are sent to a target one after another, with responses of 1000 bytes
    Then all of them get their responses
    And the target has seen 1 connection

  # Guards against a target that sends faster than its response is processed, until the bytes read ahead fill the memory.
  Scenario Outline: A connection reads little ahead of a response in chunks of <size> bytes, <pace>
    When a target sends a response of 2,000,000 bytes in chunks of <size> bytes, <pace>
    Then the listener gets the whole response
    And the connection has never read 262144 bytes ahead of the listener

    Examples:
      | size  | pace                                   |
      | 100   | which is passed on at once             |
      | 4000  | which is passed on at once             |
      | 60000 | which is passed on at once             |
      | 4000  | of which the listener pauses each part |

  # Guards against targets that get no requests for a while, as a request can't be sent to any target.
  Scenario Outline: A request with <request> is rejected by the HTTP client, which is no failure of the target
    When a request with <request> is sent to a target
    Then the attempt ends as not run, and the target does not count as failing

    Examples:
      | request            |
      | a malformed header |
      | two hosts          |
