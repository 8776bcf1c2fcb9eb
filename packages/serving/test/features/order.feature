Feature: Order of waiting batch items
  Guards against a backlog in which every item is late: on days with more work than slots, an item that
  is late in any case must not make the next one late.

  Scenario: Items that can still be on time go before late ones, by their due time
    Given items of 1000 tokens and 200 events that take 15 ms an event
      | item | due   | events |
      | a    | 2000  | 0      |
      | b    | 9000  | 0      |
      | c    | 4000  | 0      |
      | d    | -1000 | 0      |
    Then at 0 ms the order is "c, b, d, a"

  Scenario: What an item has put out already counts
    Given items of 1000 tokens and 200 events that take 15 ms an event
      | item | due  | events |
      | a    | 2000 | 100    |
      | b    | 4000 | 0      |
    Then at 0 ms the order is "a, b"

  Scenario: The pace of items that are always cut is learned from their runs
    Given a meter that has seen 30 runs of 40 events, each cut after 1600 ms
    And 3 items of 500 tokens that were completed with 180 events
    Then an item of 500 tokens with 60 events takes 4.8 s more, within a tenth

  Scenario: A burst of online requests takes the slots of items that lose nothing by it
    Given items of 1000 tokens and 200 events that take 15 ms an event
      | item | due   | events |
      | a    | 4000  | 150    |
      | b    | 12000 | 0      |
      | c    | 3500  | 0      |
      | d    | 1000  | 0      |
      | e    | 9000  | 190    |
    Then at 0 ms they leave in the order "d, b, e, a, c"
