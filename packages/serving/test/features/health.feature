Feature: Sick targets
  Guards against targets that fail a part of their requests and get new ones all the same, against so many targets
  being avoided that the others drown, and against a host that takes its own cut link for sick targets.

  Scenario: A target that fails each third request is avoided, although it answers the others
    Given 9 targets
    When target 1 fails every 3rd of 12 requests within 2000 ms
    And target 2 fails 1 of 12 requests within 2000 ms
    Then the unreliable targets are 1
    And 12000 ms later none of them is unreliable

  Scenario: No more than a third of the targets is avoided at once, the worst first
    Given 6 targets
    When target 1 fails every 2nd of 12 requests within 2000 ms
    And target 2 fails every 3rd of 12 requests within 2000 ms
    And target 3 fails every 2nd of 12 requests within 2000 ms
    Then the unreliable targets are 1, 3

  Scenario Outline: A host that hears nothing from most targets does not call them silent
    Given 8 targets
    When the first <silent> of them do not answer
    Then it reports <reported> targets as silent

    Examples:
      | silent | reported |
      | 2      | 2        |
      | 4      | 4        |
      | 5      | 0        |
      | 8      | 0        |
