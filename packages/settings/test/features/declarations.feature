Feature: Operator declarations
  Guards against invalid declarations that are accepted, or refused without the place of the mistake.

  Scenario: A child inherits the settings of its parent and may override them
    Given the declarations
      | path            | node                                                             |
      |                 | {"kind":"root","settings":{"rate":5}}                            |
      | accounts        | {"kind":"group","settings":{"burst":7}}                          |
      | accounts/harbor | {"kind":"account","settings":{"rate":50}}                        |
    Then the effective "rate" of "accounts/harbor" is 50
    And the effective "burst" of "accounts/harbor" is 7
    And the effective "rate" of "accounts" is 5

  Scenario: A mistake is reported with its file, line and path
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

  Scenario: A route to an undeclared service is reported
    Given a folder with the file "order.jsonc"
      """
      { "kind": "route", "path": "/orders", "service": "ledger" }
      """
    When the folder is read
    Then the mistakes are
      | order.jsonc:1: no service "ledger" is declared |

  Scenario: A syntax error is reported with its line
    Given a folder with the file "root.jsonc"
      """
      { "kind": "root",
        "settings": { "rate": }
      }
      """
    When the folder is read
    Then the mistakes are
      | root.jsonc:2: syntax: ValueExpected |
