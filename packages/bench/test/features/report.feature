Feature: Figures and report
  Guards against wrong arithmetic in what the report tells.

  Scenario: Capacity is divided by weight, and unused share goes to the others
    Then of 100 tokens the due shares are
      | account | weight | demand | due |
      | large   | 3      | 90     | 60  |
      | small   | 1      | 50     | 20  |
      | modest  | 2      | 20     | 20  |

  Scenario: No account is due more than it asked for
    Then of 100 tokens the due shares are
      | account | weight | demand | due |
      | large   | 3      | 40     | 40  |
      | small   | 1      | 10     | 10  |

  Scenario: Refusals, cuts and the worst-served account are counted
    Given these requests
      | account | within | asked | ending    | code          | tokens | first token |
      | web     | yes    | 10    | completed |               | 10     | 20          |
      | web     | yes    | 10    | refused   | overloaded    | 0      |             |
      | web     | no     | 10    | refused   | rate-exceeded | 0      |             |
      | support | yes    | 10    | cut       | no-end        | 4      | 40          |
    Then the metrics are
      | sent              | 4    |
      | completed         | 1    |
      | refused           | 2    |
      | refusedWithinRate | 1    |
      | cut               | 1    |
      | tokensPerSecond   | 14   |
      | worstServed       | 0.571 |
      | firstTokenP50     | 20   |
      | firstTokenP99     | 40   |
    And the codes are
      | refused: overloaded    | 1 |
      | refused: rate-exceeded | 1 |
      | cut: no-end            | 1 |

  Scenario: An account over its rate that gets its rate has no refusal within the rate
    Given these requests
      | account | within | asked | ending    | code          | tokens | first token |
      | web     | yes    | 10    | refused   | rate-exceeded | 0      |             |
      | web     | no     | 10    | completed |               | 10     | 20          |
      | support | yes    | 10    | refused   | rate-exceeded | 0      |             |
    Then the metrics are
      | refused           | 2 |
      | refusedWithinRate | 1 |

  Scenario: Medians, ranges and ratios round by round
    Given the rounds of "base" have a first token 99th of 10, 20, 40
    And the rounds of "other" have a first token 99th of 20, 30, 40
    Then the report has the line
      """
      | first token, 99th (ms) | 20.0 (10.0–40.0) | 30.0 (20.0–40.0) | 1.50 (1.00–2.00) |
      """
    And the report has the line
      """
        other ######################################## 30.0
      """

  Scenario: The base of a ratio is the first variant that has the metric
    Given the rounds of "base" have no figures
    And the rounds of "middle" have a first token 99th of 10, 10, 10
    And the rounds of "other" have a first token 99th of 20, 20, 20
    Then the report has the line
      """
      | first token, 99th (ms) | – | 10.0 | 20.0 | base | 2.00 |
      """
