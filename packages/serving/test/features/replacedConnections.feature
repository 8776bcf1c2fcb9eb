Feature: Connections beyond what a host can hold
  Guards against callers that take all connections, and against the end of a request to make room for a new connection.

  # Guards against the replacement of a connection that is of use.
  Scenario Outline: <case>
    # Name, whether it serves a request, whether it has had one, and how long it has been silent (ms).
    Given connections "<first>" and "<second>"
    Then "<replaced>" is closed for a new one

    Examples:
      | case                                              | first       | second      | replaced |
      | A connection without a request is replaced first  | a no yes 90 | b no no 5   | b        |
      | The connection that is silent for longest is next | a no yes 90 | b no yes 95 | b        |
      | A connection that serves a request is kept        | a yes no 90 | b no yes 5  | b        |
      | No connection is closed if all serve a request    | a yes no 90 | b yes no 5  |          |
