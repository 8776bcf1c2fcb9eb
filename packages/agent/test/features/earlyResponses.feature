Feature: Responses of a target that has not read the request
  Guards against a part of a response, or a response without a status of HTTP, that counts as the result of a request.

  # Guards against an end of the connection that is taken for the end of the response.
  Scenario Outline: A target that has not read 200 KB sends <response> and <ending>
    Given a target that responds to an unread request with <response>, and <ending>
    When a batch item of 200 KB is sent to it
    Then the item has failed

    Examples:
      | response                       | ending                          |
      | a part without a length        | ends its side of the connection |
      | a part without a length        | closes the connection           |
      | a part of an event stream      | ends its side of the connection |
      | a part of an event stream      | closes the connection           |
      | status 000 with a length       | closes the connection           |
      | status 000 without a length    | closes the connection           |
      | status 000 with a length       | keeps the connection open       |
