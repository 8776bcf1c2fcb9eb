Feature: Models of the core protocols
  Every reachable state of a small model is explored. Guards against a protocol that violates an
  invariant in a state that the schedules of the other tests never reach. The injected faults guard
  against a check that cannot fail.

  Scenario Outline: The invariant of <model> holds in every state
    When the model "<model>" is explored
    Then there is no violation

    Examples:
      | model        |
      | chunk commit |
      | at most once |
      | shares       |
      | versions     |
      | listing      |

  Scenario Outline: The check of <model> detects "<fault>"
    When the model "<model>" is explored with the fault "<fault>"
    Then the violations include "<violation>"

    Examples:
      | model        | fault                       | violation                                     |
      | chunk commit | no fencing check            | results of a chunk became visible twice       |
      | chunk commit | no job check                | results became visible after the cancellation |
      | chunk commit | retry without token         | results of a chunk became visible twice       |
      | at most once | no claim                    | the request ran twice                         |
      | at most once | forward while unsettled     | the request ran twice                         |
      | at most once | retry after a lost response | the request ran twice                         |
      | at most once | crash releases the claim    | the request ran twice                         |
      | at most once | refuse after forwarding     | a request that ran was reported as not run    |
      | shares       | no-window                   | shares exceed the burst                       |
      | shares       | counts-answer-only          | shares exceed the burst                       |
      | shares       | lapses-in-outage            | shares exceed the burst                       |
      | versions     | adopts-lower                | a process returned to a lower version         |
      | versions     | serves-unproven             | an outdated version is served                 |
      | versions     | commits-without-base        | two edits made the same version               |
      | listing      | no revision check           | an item has two results                       |
      | listing      | keeps listed results        | an item has two results                       |
      | listing      | ignores the end of the job  | a result was listed after the end of the job  |
