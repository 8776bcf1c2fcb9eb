Feature: Regions in which requests may run
  Guards against requests and items of a route or account that reach a target, or a host, outside of its regions.

  Background:
    Given failure domains "a" and "b" in region "north" and "c" in region "south"

  # Guards against one of two restrictions that is ignored, or one path that ignores both.
  Scenario Outline: Targets outside of the allowed regions get nothing: route "<route>", account "<account>"
    Given targets of one service in failure domains "a, b, c, d"
    And a route that allows "<route>" and an account that allows "<account>"
    Then first attempts, further ones, returns and items reach "<reached>"

    Examples:
      | route       | account     | reached    |
      |             |             | a, b, c, d |
      | north       |             | a, b       |
      |             | south       | c          |
      | north,south | south       | c          |
      | north       | south       |            |
      | west        |             |            |

  # Guards against requests that are reported as failed, and retried, where none can run.
  Scenario: Without a target in an allowed region, requests are forbidden
    Given targets of one service in failure domains "a, d"
    And a route that allows "south" and an account that allows ""
    Then a request is refused as "forbidden"

  # Guards against an item that takes another item's lack of targets for its own.
  Scenario: Items with different regions are placed independently in one pass
    Given targets of one service in failure domains "a, c"
    Then in one pass, items that allow "west", "south", "north" and "" are placed at "none, c, a, any"

  # Guards against the body of a batch job that is sent to a host in another region.
  Scenario Outline: Only hosts in allowed regions, and the one the caller is connected to, hold a job
    Given a host in failure domain "<own>" with too few cores for items, and capable hosts in "<others>"
    Then a job that allows "<allowed>" is held by a host in "<holder>"
    And of the other hosts, those in "<takers>" may take it over

    Examples:
      | own | others  | allowed | holder | takers |
      | a   | a, c    |         | a      | a, c   |
      | a   | a, b, c | north   | a      | a, b   |
      | a   | a, c    | south   | own    | c      |
      | d   | d, c    | south   | own    | c      |

  # Guards against a misspelled region that silently refuses all requests.
  Scenario: Regions without a failure domain are reported with those that allow them
    Then a configuration whose route "r" allows "north,west" and account "x" allows "west,east" has unknown regions
      | region | allowedBy |
      | west   | r, x      |
      | east   | x         |
