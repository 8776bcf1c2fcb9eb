Feature: Choice of a target
  Guards against queues at one target while slots are free elsewhere, and against batch items that keep
  online requests waiting.

  Scenario Outline: Free slots come before preemption, preemption before a queue, the own domain before others
    Given targets
      | id  | domain | slots | online | batch |
      | t-1 | a      | 8     | <load1> | <batch1> |
      | t-2 | b      | 8     | <load2> | <batch2> |
    When a host of domain "a" chooses for an online request
    Then it chooses "<chosen>"

    Examples:
      | load1 | batch1 | load2 | batch2 | chosen |
      | 7     | 0      | 0     | 0      | t-1    |
      | 8     | 0      | 7     | 0      | t-2    |
      | 4     | 4      | 7     | 0      | t-2    |
      | 4     | 4      | 8     | 0      | t-1    |
      | 9     | 0      | 8     | 0      | t-1    |
      | 10    | 0      | 9     | 0      | t-2    |
      | 10    | 0      | 10    | 0      | full   |

  Scenario: Targets in a pause, and those that two other hosts find silent, are passed over
    Given targets
      | id  | domain | slots | online | batch | usable | silent |
      | t-1 | a      | 8     | 0      | 0     | no     | 0      |
      | t-2 | a      | 8     | 0      | 0     | yes    | 2      |
      | t-3 | b      | 8     | 6      | 0     | yes    | 1      |
    When a host of domain "a" chooses for an online request
    Then it chooses "t-3"

  Scenario: When every target looks sick, requests still go out
    Given targets
      | id  | domain | slots | online | batch | usable | silent |
      | t-1 | a      | 8     | 0      | 0     | no     | 0      |
    When a host of domain "a" chooses for an online request
    Then it chooses "t-1"

  Scenario Outline: Chats that hosts place before they hear of each other spread over the free slots
    Given 10 targets of 8 slots with free slots 4, 3, 2, 2, 1, 1, 1, 1, 1, 0, seed <seed>
    When 12 hosts with the same knowledge place a chat each
    Then at most 6 chats wait for a slot

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A batch item takes no reserved slot
    Given targets
      | id  | domain | slots | online | batch |
      | t-1 | a      | 8     | 5      | 2     |
      | t-2 | b      | 8     | 3      | 4     |
    When a host of domain "a" chooses for a batch item with 1 reserved slot
    Then it chooses "none"

  Scenario: Hosts share out the items that must leave, without cancelling more than needed
    Given a target of 8 slots with 6 online requests and batch items of
      | host   | batch |
      | host-1 | 3     |
      | host-2 | 1     |
      | host-3 | 1     |
    Then 3 items leave in all, 1 of them from each host

  Scenario Outline: A host that places a chat on a full target tells those whose items must leave
    Given a target of 8 slots with <online> online requests and batch items of
      | host   | batch |
      | host-1 | 3     |
      | host-2 | 1     |
    Then host "host-1" tells "<told>"

    Examples:
      | online | told   |
      | 4      |        |
      | 5      | host-2 |

  Scenario Outline: Hosts that see the same free slots do not take one twice
    Given <hosts> hosts with waiting items and a target with <free> free slots
    When all hosts take what they may at the same time
    Then <taken> slots are taken

    Examples:
      | hosts | free | taken |
      | 8     | 1    | 1     |
      | 8     | 6    | 6     |
      | 3     | 7    | 7     |
      | 1     | 7    | 7     |
      | 8     | 0    | 0     |

  Scenario Outline: Hosts of the target's failure domain, whose knowledge is fresh, take free slots first
    Given <hosts> hosts with waiting items and a target with <free> free slots
    And <far> of the hosts in another failure domain
    When all hosts take what they may at the same time
    Then <free> slots are taken
    And hosts of the target's failure domain have taken <near> of them

    Examples:
      | hosts | far | free | near |
      | 40    | 30  | 6    | 6    |
      | 5     | 3   | 4    | 2    |
      | 3     | 3   | 2    | 0    |

  Scenario: A host does not take again before the others know, nor right after it made room
    Given 1 hosts with waiting items and a target with 4 free slots
    When the host takes a slot at 0 ms
    Then it may take 0 slots at 149 ms
    And it may take 4 slots at 150 ms
    When the host makes room at 200 ms
    Then it may take 0 slots at 499 ms
    And it may take 4 slots at 500 ms
