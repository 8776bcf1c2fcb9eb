Feature: Order of waiting batch items
  Guards against a backlog in which every item is late. When there is more work than the slots can handle, an
  item that will be late anyway must not delay the next one beyond its due time.

  Scenario: Items that can still be on time run before late ones, in the order of their due times
    Given items of 1000 tokens and 200 events that take 15 ms per event
      | item | due   | events |
      | a    | 2000  | 0      |
      | b    | 9000  | 0      |
      | c    | 4000  | 0      |
      | d    | -1000 | 0      |
    Then at 0 ms the order is "c, b, d, a"

  Scenario: Events that an item has already output shorten its remaining time
    Given items of 1000 tokens and 200 events that take 15 ms per event
      | item | due  | events |
      | a    | 2000 | 100    |
      | b    | 4000 | 0      |
    Then at 0 ms the order is "a, b"

  Scenario: The pace of items that are always preempted is estimated from their runs
    Given an estimator that has recorded 30 runs of 40 events, each preempted after 1600 ms
    And 3 items of 500 tokens that were completed with 180 events
    Then an item of 500 tokens with 60 events has 4.8 s of run time left, within 10 %

  Scenario: A burst of online requests preempts the items that lose least: late ones, then those with the most slack
    Given items of 1000 tokens and 200 events that take 15 ms per event
      | item | due   | events |
      | a    | 4000  | 150    |
      | b    | 12000 | 0      |
      | c    | 3500  | 0      |
      | d    | 1000  | 0      |
      | e    | 9000  | 190    |
    Then at 0 ms they are preempted in the order "d, b, e, a, c"
