Feature: One attempt at one target
  Guards against slow but sound streams that are cut, stalled ones that are never given up because a byte comes now and
  then, and stalls that go unseen once a slow caller has paused the stream.

  Background:
    Given an attempt that may be silent for 1000 ms before and 800 ms inside its answer

  Scenario: A stream whose events come slowly goes on
    When the head comes after 900 ms
    And 12 events come, one each 700 ms
    And the target ends its answer
    Then the attempt ends as complete

  Scenario: Bytes that never make an event are no sign of life
    When the head comes after 100 ms
    And 2 events come, one each 100 ms
    And a byte of the next event comes each 100 ms
    Then the attempt ends as silent, 800 ms after the last event

  Scenario: An answer is given up at once when an event is missing in it
    When the head comes after 100 ms
    And 2 events come, one each 100 ms
    And the next event but one comes
    Then the attempt ends as broken

  Scenario: A stall after a slow caller has read on is seen
    When the head comes after 100 ms
    And the caller does not read for 5000 ms after the next event
    Then the attempt has not ended
    When nothing comes for 800 ms
    Then the attempt ends as silent

  Scenario: A silence that is borne once is noticed again
    Given no other target could go on
    When the head comes after 100 ms
    And nothing comes for 1700 ms
    Then the attempt has not ended and 2 silences were noticed

  Scenario: A failure of the target is passed on only when nobody else can answer
    Given another target could answer instead
    When the head comes after 100 ms with status 500
    Then the attempt ends as failed
    And nothing was passed on
