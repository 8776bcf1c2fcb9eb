Feature: Models of the core protocols
  Every reachable state of a small model is visited. Guards against a protocol that breaks a rule in a
  state that no schedule of the other tests reaches; the planted faults guard against a check that
  cannot fail.

  Scenario Outline: <model> holds in every state
    When the model "<model>" is explored
    Then there is no violation

    Examples:
      | model        |
      | chunk commit |
      | at most once |
      | shares       |
      | versions     |
      | listing      |

  Scenario Outline: The check of <model> finds "<fault>"
    When the model "<model>" is explored with the fault "<fault>"
    Then the violations include "<violation>"

    Examples:
      | model        | fault                    | violation                               |
      | chunk commit | no fencing check         | results of a chunk became visible twice |
      | chunk commit | no job check             | results became visible after the cancel |
      | chunk commit | repeat without token     | results of a chunk became visible twice |
      | at most once | no claim                 | the request ran twice                   |
      | at most once | forward while unsettled  | the request ran twice                   |
      | at most once | retry after a cut        | the request ran twice                   |
      | at most once | crash frees the claim    | the request ran twice                   |
      | at most once | refuse after the forward | a request that ran was told as not run  |
      | shares       | no-window                | shares exceed the burst                 |
      | shares       | counts-answer-only       | shares exceed the burst                 |
      | shares       | lapses-in-outage         | shares exceed the burst                 |
      | versions     | adopts-lower             | a version went back                     |
      | versions     | serves-unproven          | a replaced version is served            |
      | versions     | commits-without-base     | two edits made the same version         |
      | listing      | no revision check        | an item has two results                 |
      | listing      | keeps what is listed     | an item has two results                 |
      | listing      | ignores the end          | a result was listed after the end       |
