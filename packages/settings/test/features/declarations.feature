Feature: Declarations of an operator
  Guards against a broken declaration that is accepted, or refused without saying where it is wrong.

  Scenario: A child inherits from its parent unless it overrides
    Given the declarations
      | path            | node                                                             |
      |                 | {"kind":"root","settings":{"rate":5}}                            |
      | accounts        | {"kind":"group","settings":{"burst":7}}                          |
      | accounts/harbor | {"kind":"account","settings":{"rate":50}}                        |
    Then the effective "rate" of "accounts/harbor" is 50
    And the effective "burst" of "accounts/harbor" is 7
    And the effective "rate" of "accounts" is 5

  Scenario: A mistake is told with file, line and path
    Given a folder with the file "accounts/harbor.jsonc"
      """
      {
        // A client account.
        "kind": "account",
        "settings": {
          "rat": 5
        }
      }
      """
    When the folder is read
    Then the mistakes are
      | accounts/harbor.jsonc:5: settings.rat: Unrecognized key: "rat" |

  Scenario: A route to an undeclared service is refused
    Given a folder with the file "order.jsonc"
      """
      { "kind": "route", "path": "/orders", "service": "ledger" }
      """
    When the folder is read
    Then the mistakes are
      | order.jsonc:1: no service "ledger" is declared |

  Scenario: A syntax error is told with its line
    Given a folder with the file "root.jsonc"
      """
      { "kind": "root",
        "settings": { "rate": }
      }
      """
    When the folder is read
    Then the mistakes are
      | root.jsonc:2: syntax: ValueExpected |
