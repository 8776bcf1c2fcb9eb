Feature: Experiment files
  Guards against a mistake in a file that changes the measurement without being reported.

  Scenario: Mistakes are reported with path and line
    When the experiment file is read
      """
      {
        // Short.
        "name": "short", "question": "?", "deployment": "laminas", "seed": 1,
        "durationMs": 10,
        "accounts": {
          "web": { "rate": 1, "promptTokens": { "min": 1, "max": 2 },
            "outputTokens": { "min": 3, "max": 2 } }
        },
        "variants": { "a": { "omitBach": true } }
      }
      """
    Then the mistakes are
      | short.jsonc:4: durationMs: Too small: expected number to be >=1000    |
      | short.jsonc:7: accounts.web.outputTokens: min is over max             |
      | short.jsonc:9: variants.a.omitBach: Unrecognized key: "omitBach"      |

  Scenario: An account that the deployment does not declare is rejected
    When the experiment file is read
      """
      {
        "name": "short", "question": "?", "deployment": "laminas", "seed": 1, "durationMs": 1000,
        "accounts": {},
        "batch": [
          { "account": "wep", "items": 1, "outputTokens": { "min": 1, "max": 1 }, "dueMs": 1 }
        ],
        "variants": { "a": {} }
      }
      """
    Then the mistakes are
      | short.jsonc:5: batch.0.account: no account "wep" in laminas |

  Scenario: Every experiment of this package is valid
    Then every file in experiments is read without mistakes
