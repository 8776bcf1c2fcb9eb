Feature: Content of batch jobs in the store
  The content of a job's items is written together with the job where it fits into rows. A larger one is stored as an
  object before.

  # Guards against submissions that fail at a slow or silent object store, and against content that is cut, mixed up or left behind.
  Scenario Outline: A job with <bytes> bytes of content is accepted while the object store is <objects>: <accepted>
    When a job with <bytes> bytes of content is submitted while the object store is <objects>
    Then the job is accepted: <accepted>
    And if so, another host reads the content as it was submitted
    And nothing of the content is left once the job is removed

    Examples:
      | bytes  | objects | accepted |
      | 200    | up      | yes      |
      | 200    | down    | yes      |
      | 48000  | down    | yes      |
      | 49000  | down    | yes      |
      | 49001  | down    | yes      |
      | 392000 | down    | yes      |
      | 392001 | up      | yes      |
      | 392001 | down    | no       |

  # Guards against jobs whose content is not found after an update of the hosts.
  Scenario: A job whose content an earlier version of the host has stored as an object is read
    Given a job whose content of 1000 bytes was stored as an object
    Then another host reads the content as it was submitted

  # Guards against large jobs that are never accepted, as callers leave before a slow object store responds and each repeat begins anew.
  Scenario: A job whose content takes longer to store than its caller waits is accepted when it comes again
    Given the object store responds after 100 ms
    When a job with 392001 bytes of content is submitted, whose caller waits for 20 ms
    Then its caller is refused with "deadline-passed"
    And the job is accepted once it is submitted again after the response of the object store
