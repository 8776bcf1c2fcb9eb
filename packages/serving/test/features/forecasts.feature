Feature: Choice of targets by predicted times
  Guards against requests that wait at slow or busy targets while others would serve them in time.

  # Guards against targets that get the same load whatever their pace.
  Scenario: Slow targets get fewer requests and a shorter queue
    Given targets whose events take 25, 25 and 60 ms
    When 300 requests are placed on idle targets, seed 5
    Then target 3 gets less than half as many as target 1
    And target 1 takes a longer queue than target 3

  # Guards against strategies that use what they should ignore.
  Scenario Outline: Strategy "<strategy>" considers pace: <pace>, and cost: <cost>
    Given the strategy "<strategy>"
    And targets whose events take 25, 25 and 60 ms
    Then the pace of target 3 is <considered>
    And requests with hints of 10 and 100 tokens are expected to hold a slot for <times> times

    Examples:
      | strategy | pace | cost | considered | times       |
      | cost     | no   | yes  | ignored    | different   |
      | pace     | yes  | no   | considered | the same    |
      | work     | yes  | yes  | considered | different   |

  # Guards against a target that is avoided because of a pause that is over.
  Scenario: A pause is forgotten
    Given targets whose events take 25, 25 and 25 ms
    When the events of target 1 take 200 ms for a second
    Then the pace of target 1 is considered
    And 2 seconds later its pace counts less than half as much

  # Guards against a returned target that is judged by its earlier pace.
  Scenario Outline: A target that <event> has the mean pace of its service
    Given targets whose events take 25, 25 and 60 ms
    When target 3 <event>
    Then the pace of target 3 is ignored

    Examples:
      | event         |
      | has failed    |
      | has restarted |

  # Guards against wrong hints that decide alone what a request is expected to cost.
  Scenario Outline: A hint is believed as far as it was right
    Given 200 requests of 30 events whose hints were <quality>, seed 11
    Then a hint of 1000 times the usual tokens changes the estimate at most twofold
    And a hint of twice the usual tokens changes the estimate by <min> to <max> percent

    Examples:
      | quality              | min | max |
      | right                | 40  | 100 |
      | wrong by factors     | 0   | 30  |

  # Guards against hosts that all choose a target that has just become idle.
  Scenario: Hosts with the same old reports spread over the targets
    Given 11 targets with 6 online requests each, and an idle one
    When 30 hosts whose reports are 150 ms old place one request each, seed 3
    Then the idle target gets at most 10 of them

  # Guards against requests that wait for long ones while another target is about to be free.
  Scenario: Requests are placed by the work that is left
    Given two full targets, of which target 1 has 8000 ms of work left and target 2 has 800 ms
    When reports of the load are 20 ms old
    Then target 2 is expected to be free earlier
    When reports of the load are 4000 ms old
    Then both are expected to be free at about the same time

  # Guards against requests that start later than their objective because a target takes any queue.
  Scenario: A request is not placed where it would wait too long
    Given two full targets, of which target 1 has 24000 ms of work left and target 2 has 24000 ms
    When reports of the load are 20 ms old
    Then a request is refused with the time until a slot is free
    But a request that continues a stream is placed

  # Guards against traffic between failure domains that saves no time.
  Scenario: The failure domain of the host is preferred
    Given 2 targets with 0 online requests each, and an idle one
    When 300 requests are placed by a host in the failure domain of target 1 only, seed 9
    Then target 1 gets at least half of them

  # Guards against items on fast targets, where online requests preempt them, and against late items on slow ones.
  Scenario Outline: <item> goes to target <number>
    Given targets whose events take 25, 25 and 60 ms
    When <item> is placed while targets 1 and 2 have 5 free slots and target 3 has 6
    Then it is at target <number>

    Examples:
      | item                                | number |
      | an item that has time               | 3      |
      | an item that has little time left   | 1      |

  # Guards against an explanation that differs from where requests go.
  Scenario: The explanation of a choice has the shares with which targets are chosen
    Given 2 targets with 8 online requests each, and an idle one
    When an operator asks where an online request of the service goes
    Then nearly all of them go to target 3, and each target has its load and its predicted wait

  # Guards against batch items that are preempted although another failure domain has a free slot.
  Scenario: A free slot in another failure domain goes before that of a batch item
    Given two targets in two failure domains with 4 online requests each, of which the nearer one has 4 batch items
    When 300 requests are placed, seed 2
    Then target 2 gets more of them than target 1

  # Guards against refusals by a host that hears from few others, or of hosts that have been killed.
  Scenario Outline: Old reports of <online> requests at each target refuse nobody
    Given 3 targets with <online> online requests each
    When reports of the load are 5000 ms old
    Then a request is placed

    Examples:
      | online |
      | 7      |
      | 9      |

  # Guards against refusals by a host that has stood still, to which all targets seem to have paused.
  Scenario: A pause of all targets refuses nobody while these have free slots
    Given targets whose events take 25, 25 and 25 ms
    When the events of each target take 1000 ms, while it has 7 online requests
    Then a request is placed
