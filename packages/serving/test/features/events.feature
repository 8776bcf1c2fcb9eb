Feature: Events of a stream
  Guards against responses with missing, repeated or truncated events when another target continues a stream.

  Scenario: Only complete events are passed on, however their bytes arrive
    When a target sends the bytes of events 1 to 3 in pieces of 7 bytes
    Then events 1, 2, 3 are passed on and the response is complete

  Scenario: When a target stops inside an event, the next one continues after the last complete event
    When a target sends events 1 to 2 and half of event 3
    Then events 1, 2 are passed on and the response is truncated
    When another target sends the bytes of events 3 to 4 in pieces of 50 bytes
    Then events 1, 2, 3, 4 are passed on and the response is complete

  Scenario: Events of a target that continues after the wrong event are rejected
    When a target sends events 1 to 2 and half of event 3
    And another target sends the bytes of events 4 to 5 in pieces of 50 bytes
    Then events 1, 2 are passed on and the response is truncated

  Scenario: Events of a target that restarts the stream are rejected
    When a target sends events 1 to 2 and half of event 3
    And another target sends the bytes of events 1 to 4 in pieces of 50 bytes
    Then events 1, 2 are passed on and the response is truncated

  Scenario Outline: Lines with carriage returns are split correctly however their bytes arrive
    When a target sends 3 events with carriage returns and comments in pieces of <size> bytes
    Then events 1, 2, 3 are passed on and the response is complete

    Examples:
      | size |
      | 1    |
      | 2    |
      | 3    |
      | 1000 |

  Scenario Outline: An endless event is rejected, and the events before it are kept
    When a target sends an event and then <bytes> bytes of <content> in pieces of <size> bytes
    Then events 1 are passed on and the response is truncated
    And the rest of the response is <verdict>

    Examples:
      | bytes  | content       | size  | verdict |
      | 262000 | one line      | 1     | kept    |
      | 262200 | one line      | 1     | dropped |
      | 262200 | one line      | 60000 | dropped |
      | 262200 | short lines   | 7     | dropped |
      | 262200 | comments      | 3     | dropped |

  Scenario: Lines may end with carriage returns, and data may have several lines
    When a target sends an event with two data lines that end with carriage returns
    Then the event has the id "7" and the data "first|second"
