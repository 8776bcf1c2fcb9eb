Feature: The object store
  Guards against an object that is misread, truncated or read from a failed response.

  Background:
    Given an object store

  Scenario: A range of bytes is read from an object
    Given the object "results/job 1/0001.jsonl" is "0123456789"
    Then the bytes 3 to 6 of "results/job 1/0001.jsonl" are "3456"
    And the bytes 8 to 100 of "results/job 1/0001.jsonl" are "89"
    And the object "results/job 1/0001.jsonl" reads "0123456789"
    And the object "results/job 1/0001.jsonl" streams "0123456789"

  Scenario: A removed object is absent, and removing it again succeeds
    Given the object "a" is "x"
    When the object "a" is removed
    And the object "a" is removed
    Then the object "a" is "absent"

  Scenario: A put whose response is lost is not reported as successful, and a retry succeeds
    Given the object store has the faults {"loseAnswers":1}
    When the object "a" is put as "x"
    Then the put ends with "unavailable"
    When the object "a" is put as "x"
    Then the put ends with "ok"
    And the object "a" reads "x"

  Scenario: A truncated response is never read as the complete object
    Given the object "a" is "0123456789"
    And the object store has the faults {"cutAnswers":2}
    Then the object "a" is "unavailable"
    And the stream of "a" fails

  Scenario Outline: A store that <state> is unavailable
    Given the object "a" is "x"
    And the object store has the faults <faults>
    Then the object "a" is "unavailable"
    And the counter "platform.calls{operation=object.get,outcome=unavailable}" is 1

    Examples:
      | state    | faults           |
      | is down  | {"down":true}    |
      | is slow  | {"delayMs":3000} |
      | throttles | {"refuse":true} |
