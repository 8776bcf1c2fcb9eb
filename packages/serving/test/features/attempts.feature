Feature: An attempt at one target
  Guards against slow but valid streams that are aborted, stalled streams that are never aborted because a byte arrives
  now and then, and stalls that go undetected after a slow caller has paused the stream.

  Background:
    Given an attempt with a head timeout of 1000 ms and a body idle timeout of 800 ms

  Scenario: A stream with slow events completes
    When the response head arrives after 900 ms
    And 12 events arrive, one every 700 ms
    And the target ends its response
    Then the attempt ends as complete

  Scenario: Bytes that never complete an event do not count as activity
    When the response head arrives after 100 ms
    And 2 events arrive, one every 100 ms
    And one byte of the next event arrives every 100 ms
    Then the attempt ends as silent, 800 ms after the last event

  Scenario: A response is aborted at once when an event is missing
    When the response head arrives after 100 ms
    And 2 events arrive, one every 100 ms
    And the event after the next one arrives
    Then the attempt ends as broken

  Scenario: A stall is detected after a slow caller has resumed reading
    When the response head arrives after 100 ms
    And the caller does not read for 5000 ms after the next event
    Then the attempt has not ended
    When nothing arrives for 800 ms
    Then the attempt ends as silent

  # Guards against a target that counts as silent because its host stood still, although its events have arrived.
  Scenario: Events that have arrived are read before an idle timeout expires
    When the response head arrives after 100 ms
    And the host stands still for 3000 ms, in which an event arrives
    Then the attempt has not ended
    When nothing arrives for 800 ms
    Then the attempt ends as silent, 800 ms after the last event

  Scenario: A tolerated idle timeout is reported again
    Given no other target could continue the stream
    When the response head arrives after 100 ms
    And nothing arrives for 1700 ms
    Then the attempt has not ended and 2 idle timeouts were reported

  # Guards against a target that counts as silent although the response that it holds up has gone on.
  Scenario: A response that goes on after a tolerated idle timeout is reported once
    Given no other target could continue the stream
    When the response head arrives after 100 ms
    And nothing arrives for 1700 ms
    And 2 events arrive, one every 100 ms
    Then the attempt has resumed 1 time

  Scenario: A failure status is passed on only when no other target can serve the request
    Given another target could serve the request
    When the response head arrives after 100 ms with status 500
    Then the attempt ends as failed
    And nothing was passed on
