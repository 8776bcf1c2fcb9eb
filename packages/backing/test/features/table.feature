Feature: The table service
  Guards against a write that is reported with an outcome that it does not have.

  Background:
    Given a table service

  Scenario: A transaction writes all rows or none
    Given the row "account#harbor/job#1" with {"state":"open","items":3}
    When a transaction is sent with
      | put    | account#harbor/job#2 | {"state":"open"}      |                                                        |
      | update | account#harbor/job#1 | {"state":"cancelled"} | [{"kind":"equals","attribute":"state","value":"done"}] |
    Then it ends with "conflict" of the writes 1
    And the row "account#harbor/job#2" is absent
    And the row "account#harbor/job#1" has {"state":"open","items":3}

  Scenario Outline: A write whose condition <condition> does not hold is a conflict
    Given the row "a/b" with {"version":4}
    When a transaction is sent with
      | put | a/<sk> | {"version":5} | [<condition>] |
    Then it ends with "conflict" of the writes 0

    Examples:
      | sk | condition                                        |
      | b  | {"kind":"absent"}                                |
      | c  | {"kind":"present"}                               |
      | b  | {"kind":"equals","attribute":"version","value":3} |
      | b  | {"kind":"less","attribute":"version","value":4}  |
      | b  | {"kind":"missing","attribute":"version"}         |

  Scenario Outline: A write whose condition <condition> holds is done
    Given the row "a/b" with {"version":4}
    When a transaction is sent with
      | <kind> | a/<sk> | {"size":5} | [<condition>] |
    Then it ends with "ok"

    Examples:
      | kind   | sk | condition                                                                                     |
      | put    | c  | {"kind":"absent"}                                                                             |
      | update | b  | {"kind":"present"},{"kind":"missing","attribute":"size"}                                      |
      | delete | b  | {"kind":"equals","attribute":"version","value":4},{"kind":"less","attribute":"version","value":5} |

  Scenario: Attributes of every type come back as they were written
    Given the row "a/b" with {"text":"ß","number":0.5,"flag":false,"none":null,"list":[1,["x"]],"map":{"k":{}},"binary":"AAH/"}
    Then the row "a/b" has {"text":"ß","number":0.5,"flag":false,"none":null,"list":[1,["x"]],"map":{"k":{}},"binary":"AAH/"}

  Scenario: A query follows pages and stays within prefix, order and limit
    Given the rows of "job#9" are "job,chunk#1,chunk#2,chunk#3,chunk#4,chunk#5"
    Then the query {"pk":"job#9","prefix":"chunk#"} gives "chunk#1,chunk#2,chunk#3,chunk#4,chunk#5"
    And the query {"pk":"job#9","prefix":"chunk#","limit":3,"descending":true} gives "chunk#5,chunk#4,chunk#3"
    And the query {"pk":"job#9","limit":1} gives "chunk#1"

  Scenario: A lost answer is unknown, and settling it takes effect once
    Given the row "a/b" with {"version":4}
    And the table service has the faults {"loseAnswers":1}
    When a transaction is sent with
      | update | a/b | {"version":5} | [{"kind":"equals","attribute":"version","value":4}] |
    Then it ends with "unknown"
    When the same transaction is settled
    Then it ends with "ok"
    And the row "a/b" has {"version":5}

  Scenario: Settling repeats through several lost answers
    Given the table service has the faults {"loseAnswers":3}
    When a transaction is settled with
      | put | a/b | {"version":1} | [{"kind":"absent"}] |
    Then it ends with "ok"
    And the table service counted 4 writes

  Scenario: A slow call is unknown and may take effect later
    Given the table service has the faults {"delayMs":3000}
    When a transaction is sent with
      | put | a/b | {"version":1} | [{"kind":"absent"}] |
    Then it ends with "unknown"
    Given the table service has the faults {"delayMs":0}
    When the same transaction is settled
    Then it ends with "ok"
    And the row "a/b" has {"version":1}

  Scenario: A connection that was never established is unavailable
    Given the table service is closed
    When a transaction is settled with
      | put | a/b | {"version":1} | |
    Then it ends with "unavailable"

  Scenario: A connection that is cut after the request is unknown, also when the service wrote nothing
    Given the table service has the faults {"down":true}
    When a transaction is sent with
      | put | a/b | {"version":1} | |
    Then it ends with "unknown"
    Given the table service has the faults {"down":false}
    Then the row "a/b" is absent

  Scenario Outline: A refusal with status <status> is <outcome>
    Given the table service has the faults {"refuse":<status>}
    When a transaction is sent with
      | put | a/b | {"version":1} | |
    Then it ends with "<outcome>"
    And the calls "platform.calls{operation=table.transact,outcome=<outcome>}" are counted as 1

    Examples:
      | status | outcome     |
      | 400    | unavailable |
      | 500    | unknown     |
      | 502    | unknown     |
      | 503    | unavailable |

  Scenario: What stays unsettled until the deadline is unknown
    Given the table service has the faults {"refuse":500}
    When a transaction is settled within 300 ms with
      | put | a/b | {"version":1} | |
    Then it ends with "unknown"

  Scenario Outline: Settling repeats what was refused because of <refuse>
    Given the table service has the faults {"refuse":<refuse>}
    When a transaction begins to be settled with
      | put | a/b | {"version":1} | |
    And the calls "platform.calls{operation=table.transact,outcome=unavailable}" have become 2
    And the table service has the faults {"refuse":false}
    Then the settling ends with "ok"
    And the row "a/b" has {"version":1}

    Examples:
      | refuse       |
      | "contention" |
      | true         |

  Scenario: A used token does not carry another transaction
    When a transaction is sent with
      | put | a/b | {"version":1} | |
    Then it ends with "ok"
    When a transaction with the same token is sent with
      | put | a/b | {"version":2} | |
    Then it ends with "unavailable"
    And the row "a/b" has {"version":1}
