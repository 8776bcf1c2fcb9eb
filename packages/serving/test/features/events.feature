Feature: Events of a stream
  Guards against answers with missing, repeated or torn events when another target goes on with a stream.

  Scenario: Events are passed on whole, however their bytes arrive
    When a target sends the bytes of events 1 to 3 in pieces of 7 bytes
    Then events 1, 2, 3 are passed on and the answer is whole

  Scenario: A target that stops inside an event leaves a torn answer, and the next one goes on after it
    When a target sends events 1 to 2 and half of event 3
    Then events 1, 2 are passed on and the answer is torn
    When another target sends the bytes of events 3 to 4 in pieces of 50 bytes
    Then events 1, 2, 3, 4 are passed on and the answer is whole

  Scenario: A target that goes on after the wrong event is not believed
    When a target sends events 1 to 2 and half of event 3
    And another target sends the bytes of events 4 to 5 in pieces of 50 bytes
    Then events 1, 2 are passed on and the answer is torn

  Scenario: A target that starts anew is not believed
    When a target sends events 1 to 2 and half of event 3
    And another target sends the bytes of events 1 to 4 in pieces of 50 bytes
    Then events 1, 2 are passed on and the answer is torn

  Scenario Outline: Lines with carriage returns are told apart wherever their bytes are cut
    When a target sends 3 events with carriage returns and comments in pieces of <size> bytes
    Then events 1, 2, 3 are passed on and the answer is whole

    Examples:
      | size |
      | 1    |
      | 2    |
      | 3    |
      | 1000 |

  Scenario Outline: An event without end is given up, and the events before it hold
    When a target sends an event and then <bytes> bytes of <content> in pieces of <size> bytes
    Then events 1 are passed on and the answer is torn
    And the rest of the answer is <verdict>

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
