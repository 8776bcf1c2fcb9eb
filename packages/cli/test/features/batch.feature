Feature: Batch commands
  Guards against a job that is submitted twice and against partial result files.

  Scenario: A submission whose response is lost is retried with its idempotency key
    Given the file "items.jsonl"
      """
      {"custom_id":"1"}
      """
    And the entry host responds
      | POST /v1/files   | 200  | {"id":"file-1"}                       |
      | POST /v1/batches | lost |                                       |
      | POST /v1/batches | 200  | {"id":"batch_1","status":"validating"} |
    When "batch submit items.jsonl --metadata run=tide" is run
    Then it exits with 0 and its output has "batch_1: validating"
    And "POST /v1/batches" was sent with {"input_file_id":"file-1","endpoint":"/v1/chat/completions","metadata":{"run":"tide"}}
    And the upload contains the lines of "items.jsonl"
    And 2 identical submissions with the same idempotency key were sent

  Scenario: Input that cannot be read is not submitted
    When "batch submit absent.jsonl" is run
    Then it exits with 3 and its error has "input-unreadable"

  Scenario: A file or a file id is required
    When "batch submit" is run
    Then it exits with 2 and its error has "Give either a file or --file-id."

  Scenario Outline: "<command>" shows the state of the job
    Given the entry host responds
      | <request> | 200 | {"id":"batch_1","status":"<status>","request_counts":{"total":3,"completed":1,"failed":1}} |
    When "<command>" is run
    Then it exits with 0 and its output has "batch_1: <status> (1 completed, 1 failed of 3)"

    Examples:
      | command              | request                        | status      |
      | batch status batch_1 | GET /v1/batches/batch_1         | in_progress |
      | batch cancel batch_1 | POST /v1/batches/batch_1/cancel | cancelled   |

  Scenario: Results are written to the standard output, as JSON and to a file
    Given the entry host responds
      | GET /v1/batches/batch_1      | 200 | {"id":"batch_1","status":"completed","output_file_id":"out"} |
      | GET /v1/files/out/content    | 200 | {"n":1}\n{"n":2}\n                                           |
    When "batch results batch_1" is run
    Then it exits with 0 and its output has "{"n":2}"
    When "batch results batch_1 --json" is run
    Then it exits with 0 and its output has {"id":"batch_1","results":[{"n":1},{"n":2}]}
    When "batch results batch_1 --output out.jsonl" is run
    Then it exits with 0 and its output has "Written to out.jsonl"
    And the folder contains only the files "out.jsonl"

  Scenario: A truncated transfer of results leaves no file
    Given the entry host responds
      | GET /v1/batches/batch_1      | 200 | {"id":"batch_1","status":"completed","error_file_id":"out"} |
      | GET /v1/files/out/content    | cut | {"n":1}\n{"n":2}\n                                          |
    When "batch results batch_1 --errors --output out.jsonl" is run
    Then it exits with 6 and its error has "results-cut"
    And the folder contains only the files ""

  Scenario: A job that is still running has no results
    Given the entry host responds
      | GET /v1/batches/batch_1 | 200 | {"id":"batch_1","status":"in_progress","output_file_id":null} |
    When "batch results batch_1" is run
    Then it exits with 9 and its error has "The job is in_progress and has no results."
