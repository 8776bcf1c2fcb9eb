Feature: Files and batches for OpenAI clients
  Guards against answers that the unmodified openai client cannot read, against access to objects of
  another client account, and against refusals that say less than the caller needs.

  Background:
    Given an entry host with the accounts "harbor" and "museum"

  Scenario: A job from upload to download
    When "harbor" submits 150 items of which item 3 is impossible
    Then the batch is "in_progress" with 0 of 150 items completed
    When the agents run the job
    Then the batch is "completed" with 149 of 150 items completed
    And the output file holds all items but 3, the error file item 3
    And the result files are listed with their size

  Scenario: A job is cancelled
    Given an agent at "127.0.0.1:7100" holds chunk 0 of the jobs
    When "harbor" submits 150 items of which item 3 is impossible
    And the client cancels the batch
    Then the batch is "cancelled" with 0 of 150 items completed
    And the agent at "127.0.0.1:7100" was told of the cancel once

  Scenario: Objects of another account are not found
    When "harbor" submits 150 items of which item 3 is impossible
    And the agents run the job
    Then "museum" finds neither batch nor files
    And "museum" lists nothing

  Scenario: Malformed lines are told
    When "harbor" submits the lines
      | {                                                                                                              |
      | {"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"other"}}                        |
      | {"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":{"model":"olmo","user":"jl_m_museum-secret"}} |
    Then the client gets the error 400 "batch-invalid" for the lines "1, 2, 3"

  Scenario: A batch names a file that does not exist, or another endpoint
    Then a batch of the file "file-00" at "/v1/chat/completions" gets the error 404 "not-found"
    And a batch of the file "file-00" at "/v1/embeddings" gets the error 400 "body-invalid"

  Scenario: Lists are paged and files deleted
    When "harbor" uploads 5 files
    Then the client lists 5 files in pages of 2, newest first
    When the client deletes the newest file
    Then the client lists 4 files in pages of 2, newest first

  Scenario Outline: The platform does not answer
    Given the platform <fault>
    Then an upload gets the error 503 "platform-unavailable", <run>

    Examples:
      | fault                          | run             |
      | is down                        | not run         |
      | loses answers and reads fail   | outcome unknown |

  Scenario: A download is cut when results cannot be read
    When "harbor" submits 150 items of which item 3 is impossible
    And the agents run the job
    And the results of chunk 1 are unreadable
    Then the download of the output file fails

  Scenario: An upload over the limit is refused before it is read
    Then an upload that announces 300000000 bytes gets status 413
