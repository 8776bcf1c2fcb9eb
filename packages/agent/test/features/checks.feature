Feature: Authorization at the agent
  Guards against credentials that reach targets (P5), against withdrawn keys that keep working (P6), and
  against requests that run although the agent cannot confirm that its configuration is in force.

  Background:
    Given an agent whose target has 4 slots

  Scenario: No credential reaches the target
    When "private" is forwarded with every kind of credential
    Then "private" gets a complete response
    And the target received no credential

  Scenario: A withdrawn key is refused although the entry host accepted it
    When the key of "harbor" is withdrawn
    And "late" is forwarded
    Then "late" is refused with "key-unknown" as "not run"
    And the target was not given "late"

  Scenario: A key of another account is refused
    When "foreign" is forwarded with the key of "lantern"
    Then "foreign" is refused with "account-mismatch" as "not run"

  Scenario: A request without a key is refused unless its route is open
    When "keyless" is forwarded without a key
    Then "keyless" is refused with "key-missing" as "not run"
    And the target was not given "keyless"

  Scenario: A running stream is aborted when its key is withdrawn
    Given "holder" runs without end
    When the key of "harbor" is withdrawn
    Then the connection of "holder" was closed without a final event
    And the target ended "holder" as "cancelled"

  Scenario: A request whose key is withdrawn while it waits is not run
    Given 4 requests of "lantern" run without end
    When "waiting" is forwarded by "harbor" and waits
    And the key of "harbor" is withdrawn
    Then "waiting" is refused with "key-unknown" as "not run"
    And the target was not given "waiting"

  Scenario: A request with a key that only the entry host knows waits for the new version
    Given the key of "harbor" is withdrawn
    When "early" is forwarded with the next version and waits for it
    And the key of "harbor" is granted
    Then "early" gets a complete response

  Scenario: Nothing runs without a confirmed configuration
    Given the agent cannot confirm its configuration
    When "unsure" is forwarded
    Then "unsure" is refused with "configuration-unconfirmed" as "not run"
    And the target was not given "unsure"

  Scenario: A request whose body is incomplete at its deadline is refused
    Guards against memory that is held for a body whose entry host has stopped sending.
    When "frozen" is forwarded with a body without end and a deadline of 300 ms
    Then "frozen" is refused with "deadline-passed-in-queue" as "not run"
    And the target was not given "frozen"

  Scenario: A request with a wrong fleet credential is refused
    When "stranger" is forwarded with another fleet credential
    Then "stranger" is refused with "fleet-credential-wrong" as "not run"
    And the target was not given "stranger"

  Scenario Outline: A share of an earlier generation is refused 11 s after a later one was seen
    Given generation 7 of a shard was seen
    And generation 8 of the shard was seen
    When <seconds> s pass
    Then generation 7 is <verdict>
    And generation 8 is accepted

    Examples:
      | seconds | verdict  |
      | 10      | accepted |
      | 11      | refused  |
