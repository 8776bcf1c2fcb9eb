Feature: Idle connections of callers
  Guards against requests that are left unread, as their connection is closed before the time that was announced.

  # Guards against a new limit that applies to a connection whose response has announced the earlier one.
  Scenario Outline: Connections are kept for as long as their last response announced, if the idle limit becomes <limit> ms
    Given a server with an idle limit of 2000 ms
    When the limit becomes <limit> ms, and connections in each state send a request after four fifths of the announced time
    Then all of them are served:
      | unused                                  |
      | idle                                    |
      | within a request                        |
      | within a response that has not begun    |
      | within a response that has begun        |
      | within two responses that have not begun |

    Examples:
      | limit |
      | 200   |
      | 3000  |

  # Guards against connections that are closed as if their first request were late, although none has begun.
  Scenario: Only connections on which a request has begun are checked for late requests
    Given a server with an idle limit of 2000 ms that checks every 50 ms whether a head takes longer than 100 ms
    When a caller sends a request after four fifths of the idle limit, and another one a part of a request
    Then the first one gets status 200, and the other one gets status 408
