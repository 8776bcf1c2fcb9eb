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
