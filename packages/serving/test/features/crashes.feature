Feature: Content that crashes targets
  Guards against a prompt part that crashes target after target in requests of which no two are alike, and against a guard
  that refuses sound content because it ran on the targets that crashed, or shares a caller or a part with what crashed them.

  Background:
    Given 4 hosts that exchange load reports and share a store

  Scenario: A part that crashes targets is blocked on all hosts, and the parts beside it are not
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,topic,dead", each on another host
    Then chats with the parts "base,topic,dead" are refused on every host
    And chats with the parts "base,topic" are accepted on every host
    And chats with the parts "base,other" are accepted on every host

  Scenario: Of parts that were only seen together, the more specific one is blocked
    Given chats with the parts "base,usual" are served all the time
    When 4 targets crash under chats with the parts "base,rare,dead", each on another host
    Then chats with the parts "base,rare,dead" are refused on every host
    And chats with the parts "base,rare" are accepted on every host

  Scenario: A part that was served before and crashes targets now is blocked
    Given chats with the parts "base,topic" are served all the time
    And chats with the parts "base,changed" were served before
    When 8 targets crash under chats with the parts "base,changed", each on another host
    Then chats with the parts "base,changed" are refused on every host
    And chats with the parts "base,topic" are accepted on every host

  Scenario: The first part of a prompt can be the culprit
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "dead" and a second part that is different in each
    Then chats with the parts "dead,new" are refused on every host
    And chats with the parts "base,topic" are accepted on every host

  Scenario: Two culprits are blocked one after the other
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,first", each on another host
    And 4 targets crash under chats with the parts "base,second", each on another host
    Then chats with the parts "base,first" are refused on every host
    And chats with the parts "base,second" are refused on every host
    And chats with the parts "base,topic" are accepted on every host

  Scenario: A request without a prompt that crashes targets is blocked, but not the caller's other requests
    Given chats with the parts "base,topic" are served all the time
    When 3 targets crash under the same request without parts, each on another host
    Then this request is refused on every host
    And another request of its caller is accepted on every host

  Scenario: Nothing is blocked when all targets crash with everything that they run
    Given chats with the parts "base,topic" are served all the time
    When 12 targets crash within a second, each with a chat of the parts "base,topic"
    Then chats with the parts "base,topic" are accepted on every host

  Scenario: Nothing is blocked when all targets crash soon after all hosts have started
    When 12 targets crash within a second, each with a chat of the parts "base,topic"
    Then chats with the parts "base,topic" are accepted on every host

  Scenario Outline: No sound part is blocked in bursts of crashes that no request has caused
    When every target crashes again and again, and <share> of 100 out of 1000 starting chats fail with them, seed <seed>
    Then no content is blocked on any host

    Examples:
      | share | seed |
      | 0.1   | 1    |
      | 0.1   | 2    |
      | 0.3   | 3    |
      | 0.3   | 4    |
      | 0.5   | 5    |
      | 0.5   | 6    |
      | 0.8   | 7    |
      | 0.4   | 119  |
      | 0.9   | 103  |

  Scenario Outline: No popular part is blocked in bursts of crashes that each end several chats
    When in 5 bursts of 5 waves 4 targets crash, each under 4 chats that have just started, seed <seed>
    Then no content is blocked on any host

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: Evidence of a host that is lost still counts
    Given chats with the parts "base,topic" are served all the time
    When 3 targets crash under chats with the parts "base,dead", all on the first host
    And the first host is lost
    And 1 target crashes under a chat with the parts "base,dead" on the second host
    Then chats with the parts "base,dead" are refused on every host

  Scenario: A block outlives a restart of all hosts
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,dead", each on another host
    And all hosts restart
    Then chats with the parts "base,dead" are refused on every host
    And chats with the parts "base,topic" are accepted on every host

  Scenario: A block that could not be saved is saved once the store is back
    Given chats with the parts "base,topic" are served all the time
    And the store does not respond
    When 4 targets crash under chats with the parts "base,dead", each on another host
    And the store responds again
    And all hosts restart
    Then chats with the parts "base,dead" are refused on every host

  Scenario: After its block, one more crash blocks the content again, for longer
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,dead", each on another host
    And its block has passed
    Then chats with the parts "base,dead" are accepted on every host
    When 1 target crashes under a chat with the parts "base,dead" on the second host
    Then chats with the parts "base,dead" are refused on every host
    When the time of the first block has passed again
    Then chats with the parts "base,dead" are refused on every host

  Scenario: Blocked content that is served by a request already running is accepted again on every host
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,unlucky", each on another host
    Then chats with the parts "base,unlucky" are refused on every host
    When a chat with the parts "base,unlucky" that was sent before the block is served on the first host
    Then chats with the parts "base,unlucky" are accepted on every host
    When all hosts restart
    Then chats with the parts "base,unlucky" are accepted on every host

  Scenario: Content that is served after its block counts as sound again
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,mended", each on another host
    And its block has passed
    And chats with the parts "base,mended" are served
    And 1 target crashes under a chat with the parts "base,mended" on the second host
    Then chats with the parts "base,mended" are accepted on every host

  # Guards against a sound item that waits for minutes: only a run of the item can show that its own content is sound.
  Scenario: A batch item whose own content is blocked runs again soon, but only a few times
    Given chats with the parts "base,topic" are served all the time
    When 3 targets crash under the same request without parts, each on another host
    Then a batch item with that request runs 3 times within 120 s, if each run crashes its target

  Scenario: A batch item whose own content is blocked is accepted everywhere once a run has served it
    Given chats with the parts "base,topic" are served all the time
    When 3 targets crash under the same request without parts, each on another host
    And a batch item with that request runs and is served
    Then this request is accepted on every host

  Scenario: A batch item with a blocked part of its prompt waits for the end of the block
    Given chats with the parts "base,topic" are served all the time
    When 4 targets crash under chats with the parts "base,dead", each on another host
    Then a batch item with the parts "base,dead" waits until the block ends
