Feature: Target selection
  Guards against requests that queue at one target while other targets have free slots, and against batch items
  that keep online requests waiting.

  Scenario Outline: Free slots are preferred to preemption, preemption to a queue, and the host's own failure domain to others
    Given targets
      | id  | domain | slots | online | batch |
      | t-1 | a      | 8     | <load1> | <batch1> |
      | t-2 | b      | 8     | <load2> | <batch2> |
    When a host in failure domain "a" chooses a target for an online request
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

  # Guards against streams that end because new chats fill the only targets that can continue them.
  Scenario Outline: A request that continues a stream queues longer than a new chat, at the target with the shorter queue
    Given targets
      | id  | domain | slots   | online  | batch |
      | t-1 | a      | <slots> | <load1> | 0     |
      | t-2 | b      | <slots> | <load2> | 0     |
    When a host in failure domain "a" chooses a target to continue a stream
    Then it chooses "<continued>"
    When a host in failure domain "a" chooses a target for an online request
    Then it chooses "<new>"

    Examples:
      | slots | load1 | load2 | continued | new  |
      | 8     | 10    | 9     | t-2       | t-2  |
      | 8     | 10    | 12    | t-1       | full |
      | 8     | 15    | 14    | t-2       | full |
      | 8     | 15    | 15    | full      | full |
      | 2     | 3     | 4     | t-1       | t-1  |
      | 2     | 4     | 4     | full      | full |

  # Guards against refusals, and streams that end, because the only targets with room have just broken off a response.
  Scenario Outline: A target that looks unhealthy but responds is used if all others are full
    Given targets
      | id  | domain | slots | online | batch | usable | responsive   | unresponsive |
      | t-1 | a      | 8     | <load> | 0     | yes    | yes          | 0            |
      | t-2 | b      | 8     | 3      | 0     | <t-2>  | <responsive> | <reports>    |
      | t-3 | b      | 8     | 14     | 0     | no     | yes          | 0            |
    When a host in failure domain "a" chooses a target to continue a stream
    Then it chooses "<continued>"
    When a host in failure domain "a" chooses a target for an online request
    Then it chooses "<new>"

    Examples:
      | load | t-2 | responsive | reports | continued | new  |
      | 15   | no  | yes        | 0       | t-2       | t-2  |
      | 15   | no  | no         | 0       | t-2       | full |
      | 15   | yes | yes        | 2       | t-2       | full |
      | 14   | no  | yes        | 0       | t-1       | t-2  |
      | 9    | no  | yes        | 0       | t-1       | t-1  |

  # Guards against refusals because a host's own fault makes all targets look unresponsive.
  Scenario: An unresponsive target is used if all targets look unhealthy
    Given targets
      | id  | domain | slots | online | batch | usable | responsive |
      | t-1 | a      | 8     | 3      | 0     | no     | no         |
    When a host in failure domain "a" chooses a target for an online request
    Then it chooses "t-1"

  Scenario: Paused targets, and targets that two other hosts report as unresponsive, are skipped
    Given targets
      | id  | domain | slots | online | batch | usable | unresponsive |
      | t-1 | a      | 8     | 0      | 0     | no     | 0            |
      | t-2 | a      | 8     | 0      | 0     | yes    | 2            |
      | t-3 | b      | 8     | 6      | 0     | yes    | 1            |
    When a host in failure domain "a" chooses a target for an online request
    Then it chooses "t-3"

  Scenario: Requests are still sent when every target looks unhealthy
    Given targets
      | id  | domain | slots | online | batch | usable | unresponsive |
      | t-1 | a      | 8     | 0      | 0     | no     | 0            |
    When a host in failure domain "a" chooses a target for an online request
    Then it chooses "t-1"

  Scenario Outline: Chats that hosts place before they receive each other's reports are spread over the free slots
    Given 10 targets of 8 slots with free slots 4, 3, 2, 2, 1, 1, 1, 1, 1, 0, seed <seed>
    When 12 hosts with the same load data place one chat each
    Then at most 6 chats wait for a slot

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A batch item does not use a reserved slot
    Given targets
      | id  | domain | slots | online | batch |
      | t-1 | a      | 8     | 5      | 2     |
      | t-2 | b      | 8     | 3      | 4     |
    When a host in failure domain "a" chooses a target for a batch item with 1 reserved slot
    Then it chooses "none"

  Scenario: Hosts divide the items to cancel among themselves and cancel no more than needed
    Given a target of 8 slots with 6 online requests and batch items of
      | host   | batch |
      | host-1 | 3     |
      | host-2 | 1     |
      | host-3 | 1     |
    Then 3 items are cancelled in total, 1 of them by each host

  Scenario Outline: A host that places a chat on a full target notifies the hosts with batch items there
    Given a target of 8 slots with <online> online requests and batch items of
      | host   | batch |
      | host-1 | 3     |
      | host-2 | 1     |
    Then host "host-1" notifies "<notified>"

    Examples:
      | online | notified |
      | 4      |          |
      | 5      | host-2   |

  Scenario Outline: Hosts that see the same free slots never use the same one
    Given <hosts> hosts with waiting items and a target with <free> free slots
    When all hosts use their allowance at the same time
    Then <used> slots are used

    Examples:
      | hosts | free | used |
      | 8     | 1    | 1    |
      | 8     | 6    | 6    |
      | 3     | 7    | 7    |
      | 1     | 7    | 7    |
      | 8     | 0    | 0    |

  Scenario Outline: Hosts in the target's failure domain, whose load data is fresher, use free slots first
    Given <hosts> hosts with waiting items and a target with <free> free slots
    And <remote> of the hosts are in another failure domain
    When all hosts use their allowance at the same time
    Then <free> slots are used
    And hosts in the target's failure domain use <local> of them

    Examples:
      | hosts | remote | free | local |
      | 40    | 30     | 6    | 6     |
      | 5     | 3      | 4    | 2     |
      | 3     | 3      | 2    | 0     |

  Scenario: A host uses no further slot until the other hosts know of the last one, nor shortly after a preemption
    Given 1 hosts with waiting items and a target with 4 free slots
    When the host uses a slot at 0 ms
    Then it may use 0 slots at 149 ms
    And it may use 4 slots at 150 ms
    When items of the host are preempted at 200 ms
    Then it may use 0 slots at 499 ms
    And it may use 4 slots at 500 ms

  # Guards against slots that stay free, as the hosts that come first have items of other services only.
  Scenario Outline: A host that alone has items for a target gets a slot there, however many hosts come before it
    Given <hosts> hosts with waiting items and a target with <free> free slots
    And <remote> of the hosts are in another failure domain
    Then each host that alone has items for the target may use a slot after at most <turns> turns

    Examples:
      | hosts | remote | free | turns |
      | 1     | 0      | 1    | 0     |
      | 8     | 0      | 2    | 3     |
      | 40    | 30     | 6    | 6     |

  # Guards against two hosts on one slot, and against hosts that skip the order right after another one was served.
  Scenario: A turn ends once another host has taken a slot, or the host has not looked for one for some time
    Given a host that looks for a slot every 50 ms, with turns of 150 ms
    Then at 400 ms it has seen 2 unused turns
    When another host takes a slot
    Then at 450 ms it has seen 0 unused turns
    And at 900 ms it has seen 3 unused turns
    When it looks for no slot until 5000 ms
    Then at 5000 ms it has seen 0 unused turns
