Feature: Evacuation of failure domains
  Guards against work that reaches a target in a failure domain after the operator has asked to evacuate it.

  Background:
    Given a service with target "t-a" in failure domain "a" and target "t-b" in failure domain "b"

  # Guards against one kind of attempt that chooses its target by another way than the others.
  Scenario Outline: Nothing is sent to an evacuated failure domain by <path>
    When the operator evacuates failure domain "a"
    Then <path> uses "<evacuated>"
    When the operator ends the evacuation of failure domain "a"
    Then <path> uses "<restored>"

    Examples:
      | path                                  | evacuated | restored |
      | the first attempt                     | t-b       | t-a      |
      | a further attempt after "t-b"         | none      | t-a      |
      | the check for another target than "t-b" | none    | t-a      |
      | a return to "t-a"                     | none      | t-a      |
      | a stream of the version of "t-a"      | forbidden | t-a      |
      | a batch item                          | t-b       | t-a      |
      | a batch item of the version of "t-a"  | none      | t-a      |

  # Guards against requests that wait for, or are reported as failed at, targets that they may not use.
  Scenario: Without a permitted target, requests are refused as forbidden and not as failed
    When the operator evacuates failure domain "a"
    And the operator evacuates failure domain "b"
    Then the first attempt uses "forbidden"
    And a batch item uses "none"

  # Guards against an evacuation that is lost, or kept for good, when the table is read anew.
  Scenario: The whole table replaces the known evacuations
    When the operator evacuates failure domain "a"
    And the table is read anew with evacuations of "b"
    Then the first attempt uses "t-a"
    When the table is read anew with evacuations of ""
    Then a return to "t-b" uses "t-b"
    And the log has events "evacuation-begun, evacuation-ended, evacuation-begun, evacuation-ended"

  # Guards against a misspelled name that looks like an evacuation in force.
  Scenario: An evacuation of an unknown failure domain is reported once and changes nothing else
    When the operator evacuates failure domain "c"
    And target "t-d" is registered in failure domain "b"
    Then the first attempt uses "t-a"
    And the log has events "evacuation-begun, evacuation-unknown-domain"

  # Guards against a report of a misspelled name while the targets are not known yet.
  Scenario: A failure domain is reported as unknown only once targets are known
    Given a service without targets
    When the operator evacuates failure domain "a"
    Then the log has events "evacuation-begun"
    When target "t-a" is registered in failure domain "a"
    Then the log has events "evacuation-begun"
