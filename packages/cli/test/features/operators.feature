Feature: Operator commands
  Guards against an edit that takes effect twice, an edit whose outcome is reported wrongly, and an
  edit that is based on another version than the one it was compared with.

  Background:
    Given the entry host responds
      | GET /operator/v1/configuration | 200 | {"version":12,"content":{"keys":{},"declarations":{"nodes":{"":{"kind":"root"},"pier":{"kind":"account","settings":{"rate":5,"burst":9}},"quay":{"kind":"group"}}}}} |
    And the declarations
      | root  | {"kind":"root"}                                               |
      | pier  | {"kind":"account","settings":{"rate":50,"weight":2}}          |
      | wharf | {"kind":"service","protocol":"plain","settings":{"burst":70}} |

  Scenario: A plan shows added, removed and changed nodes by path
    When "config plan" is run on the folder
    Then it exits with 0 and prints
      """
      Base version 12
      ~ pier: settings.rate: 5 -> 50
      ~ pier: settings.burst: 9 -> unset
      ~ pier: settings.weight: unset -> 2
      - quay (group)
      + wharf (service)
      1 added, 1 removed, 1 changed
      """
    And no edit was sent

  Scenario: Invalid declarations are listed and nothing is sent
    Given the declarations
      | root | {"kind":"root","settings":{"rat":1}} |
    When "config apply" is run on the folder
    Then it exits with 3 and its error has "root.jsonc:1: settings.rat"
    And no edit was sent

  Scenario: An edit contains the version that it was compared with
    Given the entry host responds
      | POST /operator/v1/configuration | 200 | {"version":13} |
    When "config apply --note tide" is run on the folder
    Then it exits with 0 and its output has "Version 13 is in force."
    And the edit has {"baseVersion":12,"note":"tide"}

  Scenario: Declarations that are already in force are not sent
    Given the declarations
      | root | {"kind":"root"}                                        |
      | pier | {"kind":"account","settings":{"rate":5,"burst":9}}     |
      | quay | {"kind":"group"}                                       |
    When "config apply" is run on the folder
    Then it exits with 0 and its output has "No changes."
    And no edit was sent

  Scenario Outline: An edit whose outcome is unknown is retried with its token
    Given the entry host responds
      | POST /operator/v1/configuration | <status> | <body>         |
      | POST /operator/v1/configuration | 200      | {"version":13} |
    When "config apply" is run on the folder
    Then it exits with 0 and its output has "Version 13 is in force."
    And 2 identical edits were sent

    Examples:
      | status | body                                                                                                                      |
      | lost   |                                                                                                                           |
      | 503    | {"error":{"code":"configuration-outcome-unknown","number":1504,"message":"m","run":"outcome unknown","retryAfterSeconds":0}} |
      | 200    | not JSON                                                                                                                  |

  Scenario: An edit whose outcome remains unknown can be retried by another run
    Given the entry host responds
      | POST /operator/v1/configuration | lost | |
      | POST /operator/v1/configuration | 503  | {"error":{"code":"stopping","number":1402,"message":"m","run":"not run","retryAfterSeconds":60}} |
      | POST /operator/v1/configuration | 200  | {"version":13} |
    When "config apply --json" is run on the folder
    Then it exits with 7 and its output has "--base 12 --token"
    When "config apply" is run on the folder with the flags from the hint
    Then it exits with 0 and its output has "Version 13 is in force."
    And 3 identical edits were sent

  Scenario Outline: A refusal with <code> exits with <exit> after one attempt
    Given the entry host responds
      | POST /operator/v1/configuration | <status> | {"error":{"code":"<code>","number":1599,"message":"What happened.","hint":"What to do.","run":"not run"}} |
    When "config apply" is run on the folder
    Then it exits with <exit> and its error has "Error 1599 <code>: What happened."
    And it exits with <exit> and its error has "Hint: What to do."
    And 1 identical edits were sent

    Examples:
      | code                      | status | exit |
      | configuration-conflict    | 409    | 5    |
      | configuration-invalid     | 422    | 3    |
      | operator-credential-wrong | 401    | 8    |
      | platform-unavailable      | 503    | 6    |
      | not-found                 | 404    | 4    |

  Scenario: An entry host that cannot be reached is reported as not run
    When "status --json --url http://127.0.0.1:9" is run
    Then it exits with 6 and its output has {"error":{"code":"unreachable","run":"not run","exitCode":6}}

  Scenario: A missing credential is a usage error
    When "status --json" is run without environment variables
    Then it exits with 2 and its output has {"error":{"code":"usage","exitCode":2}}

  Scenario Outline: "<command>" sends <request>
    Given the entry host responds
      | <request> | 200 | <response> |
    When "<command>" is run
    Then it exits with 0 and its output has "<text>"
    And "<request>" was sent with <body>
    When "<command> --json" is run
    Then it exits with 0 and its output has <response>

    Examples:
      | command               | request                              | body             | response                                                                                                                             | text                         |
      | status                | GET /operator/v1/status              | {}               | {"name":"e1","mode":"outage","version":12}                                                                                           | outage                       |
      | config history        | GET /operator/v1/configuration/history | {}             | {"versions":[{"version":12,"acceptedAt":0,"author":"ana","note":null}]}                                                              | 1970-01-01T00:00:00.000Z  ana |
      | key grant web         | POST /operator/v1/keys               | {"account":"web"} | {"id":"k1","secret":"jl_k1_s","account":"web","version":13}                                                                         | jl_k1_s                      |
      | key withdraw k/1      | POST /operator/v1/keys/k%2F1/withdraw | {}              | {"version":13}                                                                                                                       | withdrawn, version 13        |
      | key list              | GET /operator/v1/keys                | {}               | {"keys":[{"id":"k1","account":"web","state":"withdrawn","changedAt":0}]}                                                             | k1  web      withdrawn       |
      | host list             | GET /operator/v1/hosts               | {}               | {"hosts":[{"name":"a1","role":"agent","address":"10.0.0.1:1","failureDomain":"d1","region":"r","state":"live","service":"s","target":"t"}]} | s/t                    |
      | host drain a1         | POST /operator/v1/hosts/a1/drain     | {"drained":true} | {"version":13}                                                                                                                       | is drained, version 13       |
      | host drain a1 --undo  | POST /operator/v1/hosts/a1/drain     | {"drained":false} | {"version":14}                                                                                                                      | takes work again, version 14 |

  Scenario: "config get" shows the configuration in force
    When "config get" is run
    Then it exits with 0 and its output has "pier    account  {"

  Scenario: Every command has examples and JSON output, and every exit code is documented
    Then every command has examples and JSON output
    And every exit code is documented
