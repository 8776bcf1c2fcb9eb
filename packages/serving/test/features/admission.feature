Feature: Admission of online requests while room is short
  Guards against refusing a request that would find room in time, against letting one wait that cannot be served in time,
  and against an account that takes the room of others.

  # Guards against refusals in a peak that lasts shorter than the objective.
  Scenario: A request without room waits and gets the next slot
    Given a full target with 8 slots
    When account "a" sends a request
    And a slot becomes free after 60 ms
    Then request 1 has a target after 60 ms

  # Guards against holding a caller until its deadline although nothing becomes free.
  Scenario: A request that can no longer be served in time is refused
    Given a full target with 8 slots
    When account "a" sends a request
    And the requests wait for 300 ms
    Then request 1 is refused as "overloaded" after 225 ms

  # Guards against a wait that is known to be in vain, and against a return before there is room.
  Scenario: A request with a long expected wait is refused at once
    Given a full target with 8 slots, of which one became free each 100 ms
    When account "a" sends 3 requests
    Then request 3 is refused as "overloaded" after 0 ms
    And its caller returns after 300 to 500 ms

  # Guards against a peak of retries after a peak of refusals.
  Scenario: Refused callers return one after the other
    Given a full target with 8 slots, of which one became free each 100 ms
    When account "a" sends 6 requests
    Then the callers of requests 3 to 6 return at least 190 ms apart

  # Guards against service in order of arrival, whatever is urgent.
  Scenario: Waiting requests get slots by precedence, priority and share
    Given a full target with 8 slots
    And account "large" uses 5 times its fair share
    When account "large" sends a request
    And account "a" sends a request on a route of priority 1
    And account "a" sends a request
    And account "a" sends a request that a target has failed
    And 4 slots become free, one after the other
    Then the requests get targets in the order 4, 3, 1, 2

  # Guards against a slot that is given to a caller that has disconnected.
  Scenario: A request whose caller disconnects leaves the queue
    Given a full target with 8 slots
    When account "a" sends a request
    And account "b" sends a request
    And the caller of request 1 disconnects
    And a slot becomes free after 10 ms
    Then request 2 has a target after 10 ms

  # Guards against an account that fills the queues of targets, in which the requests of others then wait.
  Scenario: An account above its share gets free slots but no place in the queue of a target
    Given a target with 8 slots in use that queues 1 request more
    And account "large" uses 5 times its fair share
    When account "large" sends a request
    And account "a" sends a request
    Then request 2 has a target after 0 ms
    And request 1 is refused as "share-exceeded" after 225 ms

  # Guards against a queue that one account fills.
  Scenario: Requests above the share are the first to leave a full queue
    Given a full target with 8 slots
    And account "large" uses 5 times its fair share
    When account "large" sends 16 requests
    And 60 other accounts send a request each
    Then 12 requests of account "large" are refused, and none of another account

  # Guards against one account that sends five times its usual, and so delays or displaces the requests of the others.
  Scenario: Accounts within their share are not refused while another one presses
    Given 20 slots that are held for 400 ms each, and 9 accounts that send 4 requests a second each
    When account "large" sends 40 requests a second beside them for 10 s
    Then at least 98 % of the requests of the others are served in time
    And more than 100 requests of account "large" are refused

  # Guards against shares by number of requests alone, by size alone, or by what one host sees.
  Scenario Outline: Accounts above their fair share
    Given an account that sends <times> times the rate of its limit, with requests of <work> times the work
    And <count> other accounts that send what their limits allow
    When <lost> of 9 hosts stop reporting after 2 s
    Then after 4 s the account is <standing> its share, and the others are within theirs

    Examples:
      | times | work | count | lost | standing |
      | 5     | 1    | 20    | 0    | above    |
      | 5     | 1    | 20    | 3    | above    |
      | 1     | 1    | 20    | 0    | within   |
      | 1     | 4    | 20    | 0    | above    |
      | 2     | 0.5  | 20    | 0    | within   |

  # Guards against uses and shares of different moments, with which each burst is above the share.
  Scenario: An account that is alone on the fleet is within its share
    Given a host that has just started
    When account "large" sends bursts of 4 requests, 10 ms apart
    Then it is within its share at each of them

  # Guards against a host that starts and refuses accounts of which it knows nothing.
  Scenario: A host that has heard no reports takes all accounts as within their share
    Given a host that has just started
    Then account "large" is within its share
