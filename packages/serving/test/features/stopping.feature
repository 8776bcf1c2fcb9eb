Feature: Stopping the server for callers
  Guards against responses that are cut although they could be completed.

  # Guards against a stop that takes a response for sent as soon as its last byte is queued.
  Scenario: A caller that reads slowly gets the rest of a response that has ended before the host stops
    Given a server whose response of 32 MB has ended, and a caller that has read nothing
    When the server stops, and the caller reads once it listens no more
    Then the caller has got the whole response

  # Guards against connections that are taken for ones within a request, and kept until the end of the stop.
  Scenario Outline: A stop closes a connection at once that has received <received>, and then <then>
    Given a server, and a caller that has sent <received> and then <then>
    When the server stops
    Then the connection has closed before the end of the stop

    Examples:
      | received             | then            |
      | a request            | a line break    |
      | a request            | many line feeds |
      | a request in chunks  | a line break    |
      | nothing              | a line break    |
