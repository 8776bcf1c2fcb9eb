Feature: Figures and report
  Guards against wrong figures in the report.

  Scenario: Capacity is divided by weight, and unused shares go to the other accounts
    Then of 100 tokens the due shares are
      | account | weight | demand | due |
      | large   | 3      | 90     | 60  |
      | small   | 1      | 50     | 20  |
      | modest  | 2      | 20     | 20  |

  Scenario: No account is due more than its demand
    Then of 100 tokens the due shares are
      | account | weight | demand | due |
      | large   | 3      | 40     | 40  |
      | small   | 1      | 10     | 10  |

  Scenario: Metrics and result codes are computed from the outcomes of the requests
    Given the requests
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

  Scenario: An account that exceeds its rate but is served at its rate has no refusals within the rate
    Given the requests
      | account | within | asked | ending    | code          | tokens | first token |
      | web     | yes    | 10    | refused   | rate-exceeded | 0      |             |
      | web     | no     | 10    | completed |               | 10     | 20          |
      | support | yes    | 10    | refused   | rate-exceeded | 0      |             |
    Then the metrics are
      | refused           | 2 |
      | refusedWithinRate | 1 |

  Scenario: Medians, ranges and ratios are computed round by round
    Given the rounds of "base" have a first token 99th of 10, 20, 40
    And the rounds of "other" have a first token 99th of 20, 30, 40
    Then the report contains the line
      """
      | first token, 99th (ms) | 20.0 (10.0–40.0) | 30.0 (20.0–40.0) | 1.50 (1.00–2.00) |
      """
    And the report contains the line
      """
        other ######################################## 30.0
      """

  Scenario: The base of a ratio is the first variant that has the metric
    Given the rounds of "base" have no metrics
    And the rounds of "middle" have a first token 99th of 10, 10, 10
    And the rounds of "other" have a first token 99th of 20, 20, 20
    Then the report contains the line
      """
      | first token, 99th (ms) | – | 10.0 | 20.0 | base | 2.00 |
      """
