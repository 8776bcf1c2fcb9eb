Feature: The table service
  Guards against a write that is reported with the wrong outcome.

  Background:
    Given a table service

  Scenario: A transaction applies all writes or none
    Given the row "account#harbor/job#1" with {"state":"open","items":3}
    When a transaction is sent
      | put    | account#harbor/job#2 | {"state":"open"}      |                                                        |
      | update | account#harbor/job#1 | {"state":"cancelled"} | [{"kind":"equals","attribute":"state","value":"done"}] |
    Then it ends with "conflict" on write 1
    And the row "account#harbor/job#2" is absent
    And the row "account#harbor/job#1" has {"state":"open","items":3}

  Scenario Outline: A write whose condition <condition> does not hold is a conflict
    Given the row "a/b" with {"version":4}
    When a transaction is sent
      | put | a/<sk> | {"version":5} | [<condition>] |
    Then it ends with "conflict" on write 0

    Examples:
      | sk | condition                                        |
      | b  | {"kind":"absent"}                                |
      | c  | {"kind":"present"}                               |
      | b  | {"kind":"equals","attribute":"version","value":3} |
      | b  | {"kind":"less","attribute":"version","value":4}  |
      | b  | {"kind":"missing","attribute":"version"}         |

  Scenario Outline: A write whose condition <condition> holds succeeds
    Given the row "a/b" with {"version":4}
    When a transaction is sent
      | <kind> | a/<sk> | {"size":5} | [<condition>] |
    Then it ends with "ok"

    Examples:
      | kind   | sk | condition                                                                                     |
      | put    | c  | {"kind":"absent"}                                                                             |
      | update | b  | {"kind":"present"},{"kind":"missing","attribute":"size"}                                      |
      | delete | b  | {"kind":"equals","attribute":"version","value":4},{"kind":"less","attribute":"version","value":5} |

  Scenario: Attributes of every type are read as they were written
    Given the row "a/b" with {"text":"ß","number":0.5,"flag":false,"none":null,"list":[1,["x"]],"map":{"k":{}},"binary":"AAH/"}
    Then the row "a/b" has {"text":"ß","number":0.5,"flag":false,"none":null,"list":[1,["x"]],"map":{"k":{}},"binary":"AAH/"}

  Scenario: A query reads all pages and respects prefix, order and limit
    Given the partition "job#9" has the rows "job,chunk#1,chunk#2,chunk#3,chunk#4,chunk#5"
    Then the query {"pk":"job#9","prefix":"chunk#"} gives "chunk#1,chunk#2,chunk#3,chunk#4,chunk#5"
    And the query {"pk":"job#9","prefix":"chunk#","limit":3,"descending":true} gives "chunk#5,chunk#4,chunk#3"
    And the query {"pk":"job#9","limit":1} gives "chunk#1"

  Scenario: A write whose response is lost has an unknown outcome, and retries take effect once
    Given the row "a/b" with {"version":4}
    And the table service has the faults {"loseAnswers":1}
    When a transaction is sent
      | update | a/b | {"version":5} | [{"kind":"equals","attribute":"version","value":4}] |
    Then it ends with "unknown"
    When the same transaction is sent with retries
    Then it ends with "ok"
    And the row "a/b" has {"version":5}

  Scenario: Several lost responses are retried
    Given the table service has the faults {"loseAnswers":3}
    When a transaction is sent with retries
      | put | a/b | {"version":1} | [{"kind":"absent"}] |
    Then it ends with "ok"
    And the table service counted 4 writes

  Scenario: A slow call has an unknown outcome and may take effect later
    Given the table service has the faults {"delayMs":3000}
    When a transaction is sent
      | put | a/b | {"version":1} | [{"kind":"absent"}] |
    Then it ends with "unknown"
    Given the table service has the faults {"delayMs":0}
    When the same transaction is sent with retries
    Then it ends with "ok"
    And the row "a/b" has {"version":1}

  Scenario: A service that cannot be connected to is unavailable
    Given the table service is stopped
    When a transaction is sent with retries
      | put | a/b | {"version":1} | |
    Then it ends with "unavailable"

  Scenario: A connection that closes after the request means an unknown outcome, even when the service wrote nothing
    Given the table service has the faults {"down":true}
    When a transaction is sent
      | put | a/b | {"version":1} | |
    Then it ends with "unknown"
    Given the table service has the faults {"down":false}
    Then the row "a/b" is absent

  Scenario Outline: A rejection with status <status> is <outcome>
    Given the table service has the faults {"refuse":<status>}
    When a transaction is sent
      | put | a/b | {"version":1} | |
    Then it ends with "<outcome>"
    And the counter "platform.calls{operation=table.transact,outcome=<outcome>}" is 1

    Examples:
      | status | outcome     |
      | 400    | unavailable |
      | 500    | unknown     |
      | 502    | unknown     |
      | 503    | unavailable |

  Scenario: A transaction whose outcome is not known by the deadline is unknown
    Given the table service has the faults {"refuse":500}
    When a transaction is sent with retries for at most 300 ms
      | put | a/b | {"version":1} | |
    Then it ends with "unknown"

  Scenario Outline: A transaction that is rejected because of <refuse> is retried
    Given the table service has the faults {"refuse":<refuse>}
    When a transaction with retries is started
      | put | a/b | {"version":1} | |
    And the counter "platform.calls{operation=table.transact,outcome=unavailable}" reaches 2
    And the table service has the faults {"refuse":false}
    Then the started transaction ends with "ok"
    And the row "a/b" has {"version":1}

    Examples:
      | refuse       |
      | "contention" |
      | true         |

  Scenario: A token cannot be reused for another transaction
    When a transaction is sent
      | put | a/b | {"version":1} | |
    Then it ends with "ok"
    When a transaction with the same token is sent
      | put | a/b | {"version":2} | |
    Then it ends with "unavailable"
    And the row "a/b" has {"version":1}
