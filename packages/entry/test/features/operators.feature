Feature: Operator endpoints
  Guards against edits that are accepted on a wrong base version or twice, and against a repeated grant that
  returns a different key.

  Background:
    Given an entry host with the account "harbor"

  Scenario: An edit based on the version in force changes the declarations
    When an operator sends POST "/operator/v1/configuration" with
      """
      { "baseVersion": 1, "token": "t1", "declarations": { "nodes": { "quay": { "kind": "account" } } } }
      """
    Then the response has status 200 and version 2
    And version 2 has the new account and keeps the keys

  Scenario: An edit based on an old version is refused
    When an operator sends POST "/operator/v1/configuration" with
      """
      { "baseVersion": 0, "token": "t1", "declarations": { "nodes": {} } }
      """
    Then the refusal is "configuration-conflict"

  Scenario: Invalid declarations are refused with the path of the mistake
    When an operator sends POST "/operator/v1/configuration" with
      """
      { "baseVersion": 1, "token": "t1", "declarations": { "nodes": { "quay": { "kind": "pier" } } } }
      """
    Then the refusal is "configuration-invalid"
    And the refusal contains the path "declarations.nodes.quay"

  Scenario: A repeated grant returns the same key
    When an operator sends POST "/operator/v1/keys" with
      """
      { "account": "harbor", "token": "t1" }
      """
    And the same request is sent again
    Then both responses contain the same valid key of "harbor"

  Scenario: A key for an account that is not declared is refused
    When an operator sends POST "/operator/v1/keys" with
      """
      { "account": "pier", "token": "t1" }
      """
    Then the refusal is "not-found"

  Scenario: A withdrawn key is no longer valid and its ID is not granted again
    When an operator sends POST "/operator/v1/keys" with
      """
      { "account": "harbor", "token": "t1" }
      """
    And the operator withdraws the key
    Then the key is not valid
    And the key is listed as "withdrawn" without its secret
    And the same grant is refused with "identity-reused"

  Scenario: A host is drained
    When an operator sends POST "/operator/v1/hosts/agent-1/drain" with
      """
      { "drained": true, "token": "t1" }
      """
    Then the response has status 200 and version 2
    And the host "agent-1" is drained
