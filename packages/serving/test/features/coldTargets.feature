Feature: Requests to cold targets
  Guards against a target that crashes after its start, as each of many hosts sends it what it could bear from all of them.

  # Guards against hosts that all send their first requests to a target that has just returned.
  Scenario Outline: <hosts> hosts with the same members send at most half of the rate of <rate> a second
    Given <hosts> hosts that know the same members, and a cold target that tolerates <rate> requests a second
    When each host sends as much as it may for 4000 ms
    Then the target gets at least <least> requests in all, and at most <most> in any second

    Examples:
      | hosts | rate | least | most |
      | 1     | 17   | 32    | 8    |
      | 3     | 17   | 24    | 8    |
      | 32    | 17   | 32    | 8    |
      | 300   | 17   | 32    | 8    |
      | 32    | 3    | 4     | 1    |
      | 32    | 0.5  | 1     | 1    |

  # Guards against a bound that holds only while all hosts have read the same rows.
  Scenario Outline: Hosts that disagree about the members stay within the tolerated rate: <members>
    Given 32 hosts of which <members>, and a cold target that tolerates 17 requests a second
    When each host sends as much as it may for 4000 ms
    Then the target gets at least 8 requests in all, and at most <most> in any second

    Examples:
      | members                                          | most |
      | each half knows only its own members             | 17   |
      | a third has lost the store and knows all of them | 17   |
      | each lacks a third of the others, seed 1         | 17   |
      | each lacks a third of the others, seed 2         | 17   |

  # Guards against a share that two hosts use, as the others have not read the row of a new host.
  Scenario: A host that has just registered sends nothing to cold targets
    Given 2 hosts that know the same members, and a cold target that tolerates 17 requests a second
    When host 1 has registered 2999 ms ago
    Then host 1 may not send to the target
    When host 1 has registered 3000 ms ago
    Then host 1 may send to the target

  # Guards against targets that get full traffic although they have just started, and against slow starts of hosts.
  Scenario Outline: A target is cold for 3000 ms after <event>
    Given a host that knows the targets since its start
    Then the target is warm
    When <event> at 1000 ms
    Then the target is cold until 4000 ms

    Examples:
      | event                                |
      | the target restarts                  |
      | the target is removed and returns    |
      | the evacuation of its domain ends    |
      | its registration says 3000 ms more   |

  # Guards against limits on targets whose service states none.
  Scenario: Without a limit of the service, no target counts as cold
    Given a host that knows the targets since its start
    And the service has no limit
    When the target restarts at 1000 ms
    Then the target is warm

  # Guards against a domain that returns cold as a whole and draws the traffic that waits for it.
  Scenario: Requests go to warm targets while these have free slots, and to cold ones within the share
    Given a host that knows warm target "t-1" of 8 slots, and 3 targets that have just started
    When the host sends 8 requests
    Then all of them went to "t-1"
    When the host sends 40 requests
    Then each cold target got at most 8 of them
    And the last request was refused as "full"
    When the host sends 3 items
    Then none of them was sent

  # Guards against an explanation that differs from where requests go.
  Scenario: The explanation of a choice leaves out cold targets while a warm one has a free slot
    Given a host that knows warm target "t-1" of 8 slots, and 3 targets that have just started
    When the host sends 4 requests
    Then an operator is told that requests and items would go to "t-1"
