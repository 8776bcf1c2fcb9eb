Feature: Predicted times only where targets or requests differ
  Guards against predictions that cost more than they help, and against numbers of requests that hide slow targets.

  # Guards against slow targets that get as many requests as fast ones, and against noise that is taken for a difference.
  Scenario Outline: Targets of paces <paces> with <disturbance> are compared by <comparison>
    Given a host with the placement "auto" and targets of paces <paces>
    When each of them serves 20 requests with <disturbance>, seed <seed>
    Then targets are compared by <comparison>

    Examples:
      | paces            | disturbance          | seed | comparison          |
      | 0.7, 0.7 and 1.7 | pauses               | 1    | predicted times     |
      | 0.7, 0.7 and 1.7 | times that vary      | 2    | predicted times     |
      | 1, 1 and 1       | pauses               | 1    | numbers of requests |
      | 1, 1 and 1       | pauses               | 2    | numbers of requests |
      | 1, 1 and 1       | times that vary      | 3    | numbers of requests |
      | 1, 1 and 1       | times that vary      | 4    | numbers of requests |

  # Guards against a host that starts and predicts times from a few responses.
  Scenario: A host that starts compares numbers of requests
    Given a host with the placement "auto" and targets of paces 0.7, 0.7 and 1.7
    Then targets are compared by numbers of requests
    When each of them serves 3 requests with pauses, seed 1
    Then targets are compared by numbers of requests

  # Guards against hosts that change their way with each small change of the paces.
  Scenario: Targets that differ a little are compared as before
    Given a host with the placement "auto" and targets of paces 1, 1 and 1.2
    When each of them serves 40 requests with equal times, seed 1
    Then targets are compared by numbers of requests
    When their paces become 0.7, 0.7 and 1.7
    And each of them serves 20 requests with equal times, seed 1
    Then targets are compared by predicted times
    When their paces become 1, 1 and 1.2
    And each of them serves 200 requests with equal times, seed 1
    Then targets are compared by predicted times
    When their paces become 1, 1 and 1
    And each of them serves 200 requests with equal times, seed 1
    Then targets are compared by numbers of requests
    And the log has 2 changes

  # Guards against a service with few slots at each target, where a long request blocks others.
  Scenario Outline: Requests whose hints differ, on targets of <slots> slots
    Given a host with the placement "auto" and targets of paces 1, 1 and 1
    And targets of <slots> slots
    When each of them serves 60 requests with hints that are right, seed 1
    Then targets are compared by <comparison>

    Examples:
      | slots | comparison          |
      | 1     | predicted times     |
      | 32    | numbers of requests |

  # Guards against work for each event that nobody reads, and against admission without times.
  Scenario Outline: With the placement "count", admission <admission> <learns> the times of a service
    Given a host with the placement "count" whose admission <admission> requests
    When 3 requests are served
    Then it <learns> the times of the service

    Examples:
      | admission        | learns       |
      | refuses          | doesn't know |
      | lets wait        | knows        |

  # Guards against failed requests that count as running, or as short ones, and make requests wait too long or too short.
  Scenario: A failed request tells admission nothing of the time for which others hold a slot
    Given a host with the placement "count" whose admission lets wait requests
    When 3 requests are served
    And a request fails after 10 ms
    Then slots become free every 825 ms

  # Guards against requests that wait until their response must be late, as targets take longer to begin than was known.
  Scenario: Longer times to the first event are learned
    Given a host with the placement "count" whose admission lets wait requests
    When the first events of 100 requests take 200 ms
    Then the time to the first event is known as 180 to 200 ms
