Feature: Placement of requests and batch items of a split route
  Guards against items and requests that wait for one service of their route while another one is idle, and against
  output of two services in one result.

  # Guards against services that get another share of the traffic than their weight states.
  Scenario Outline: Services are drawn by their weights
    When the services of a route with the weights <weights> are ordered 10000 times, seed 7
    Then they come first in <shares> percent of the draws

    Examples:
      | weights  | shares     |
      | 20 80    | 20 80      |
      | 1 99     | 1 99       |
      | 10 30 60 | 10 30 60   |
      | 0 5      | 0 100      |
      | 5 0 15   | 25 0 75    |
      | 0 0      | 50 50      |
      | 7        | 100        |

  # Guards against a preferred service that is not tried first, or a later one that is not tried at all.
  Scenario: Each service that gets traffic stands in the order once
    When the services of a route with the weights 10 0 20 30 are ordered 100 times, seed 3
    Then each order has the services 1, 3 and 4

  # Guards against items that wait although a service of their route has a free slot, and against output that is discarded early.
  Scenario Outline: An item whose output began at a service with <targets> goes to <place>
    Given service "begun" with targets that are <targets>
    And service "idle" with a free target
    When an item whose output began at "begun" in version "v1" <wait> is placed on a route to <route>
    Then it <place>

    Examples:
      | targets                     | wait                     | route          | place                |
      | free                        | and is due to be moved   | begun and idle | continues at "begun" |
      | full                        | and has waited briefly   | begun and idle | waits                |
      | full                        | and is due to be moved   | begun and idle | restarts at "idle"   |
      | silent                      | and has waited briefly   | begun and idle | waits                |
      | silent                      | and is due to be moved   | begun and idle | restarts at "idle"   |
      | leaving                     | and has waited briefly   | begun and idle | restarts at "idle"   |
      | absent                      | and has waited briefly   | begun and idle | restarts at "idle"   |
      | absent                      | and is due to be moved   | begun          | waits                |
      | full                        | and is due to be moved   | begun          | waits                |
      | free, in version v2         | and has waited briefly   | begun          | restarts at "begun"  |
      | full, in version v2         | and has waited briefly   | begun and idle | restarts at "idle"   |
      | free                        | and has waited briefly   | idle           | restarts at "idle"   |

  # Guards against an item without output that waits for one service of its route.
  Scenario Outline: A new item goes to the service with a free target
    Given service "begun" with targets that are <targets>
    And service "idle" with a free target
    When 5 new items are placed on a route to begun and idle
    Then all of them run at "idle"

    Examples:
      | targets |
      | full    |
      | silent  |
      | leaving |
      | absent  |

  # Guards against a request that is refused although a service of its route could run it.
  Scenario Outline: An online request goes to the service with a free target
    Given service "begun" with targets that are <targets>
    And service "idle" with a free target
    Then an online request of a route to begun and idle goes to "idle"

    Examples:
      | targets |
      | full    |
      | silent  |
      | leaving |
      | absent  |

  # Guards against a continuation that is sent to a service without the version that began the stream.
  Scenario Outline: A request that continues a stream goes to the service with its version
    Given service "begun" with targets that are <targets>
    And service "idle" with targets that are free, in version v2
    Then an online request of a route to begun and idle that continues version "v1" goes to "begun"

    Examples:
      | targets |
      | free    |
      | full    |
      | silent  |

  # Guards against items that all wait because the first one in their order has no slot.
  Scenario: An item that waits for its service keeps no other item waiting
    Given service "begun" with targets that are full
    And service "idle" with a free target
    When an item whose output began at "begun" in version "v1" and has waited briefly is placed on a route to begun and idle
    And 5 new items are placed on a route to begun and idle
    Then all of them run at "idle"

  # Guards against more items on a target than its slots allow when several services of a route share one pass.
  Scenario: A pass places no more items than there are slots
    Given service "begun" with targets that are free
    And service "idle" with a free target
    When 40 new items are placed on a route to begun and idle
    Then 14 of them run, 7 at each service

  # Guards against an end that only the target which has broken off the output confirms.
  Scenario Outline: The end of an output is confirmed by another target if one has a slot
    When an item whose output has ended at "t-1" is placed, while "t-2" is <state>
    Then it continues at target "<target>"

    Examples:
      | state | target |
      | free  | t-2    |
      | full  | t-1    |
