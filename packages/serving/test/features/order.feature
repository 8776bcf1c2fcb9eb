Feature: Order of waiting batch items
  Guards against a backlog in which every item is late: on days with more work than slots, an item that
  is late in any case must not make the next one late.

  Scenario: Items that can still be on time go before late ones, by their due time
    Given items of 1000 tokens that take 3 ms a token
      | item | due   | events |
      | a    | 2000  | 0      |
      | b    | 9000  | 0      |
      | c    | 4000  | 0      |
      | d    | -1000 | 0      |
    Then at 0 ms the order is "c, b, d, a"

  Scenario: What an item has put out already counts
    Given items of 1000 tokens that take 3 ms a token
      | item | due  | events |
      | a    | 2000 | 100    |
      | b    | 4000 | 0      |
    Then at 0 ms the order is "a, b"
