Feature: Target health
  Guards against targets that fail some of their requests but still receive new ones, against avoiding so many targets
  that the others are overloaded, and against a host that mistakes its own lost network connection for unhealthy targets.

  Scenario: A target that fails every third request is avoided, although it responds to the others
    Given 9 targets
    When target 1 fails every 3rd of 12 requests within 2000 ms
    And target 2 fails 1 of 12 requests within 2000 ms
    Then the unreliable targets are 1
    And 12000 ms later none of them is unreliable

  Scenario: At most a third of the targets is avoided at once, those with the highest failure rates first
    Given 6 targets
    When target 1 fails every 2nd of 12 requests within 2000 ms
    And target 2 fails every 3rd of 12 requests within 2000 ms
    And target 3 fails every 2nd of 12 requests within 2000 ms
    Then the unreliable targets are 1, 3

  Scenario Outline: A host that gets no response from most targets does not report them as unresponsive
    Given 8 targets
    When the first <unresponsive> of them do not respond
    Then it reports <reported> targets as unresponsive

    Examples:
      | unresponsive | reported |
      | 2            | 2        |
      | 4            | 4        |
      | 5            | 0        |
      | 8            | 0        |
