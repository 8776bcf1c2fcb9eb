Feature: Files and batches for OpenAI clients
  Guards against responses that the unmodified openai client cannot read, against access to objects of
  another client account, and against refusals without the details that the caller needs.

  Background:
    Given a host that serves the batch endpoints to "harbor" and "museum"

  Scenario: A job from upload to download
    When 150 items are submitted, of which item 3 fails
    Then the batch is "in_progress" with 0 items completed
    When the agents run the job
    Then the batch is "completed" with 149 items completed
    And the output file contains all items except 3, the error file item 3, each of the stated size

  Scenario: A job is cancelled
    Given an agent at "127.0.0.1:7100" holds the first chunk of each job
    When 150 items are submitted, of which item 3 fails
    And the client cancels the batch
    Then the batch is "cancelled" with 0 items completed
    And the agent at "127.0.0.1:7100" was notified of the cancellation once

  Scenario: Objects of another account are not found
    When 150 items are submitted, of which item 3 fails
    And the agents run the job
    Then "museum" finds neither the batch nor its files, and its lists are empty

  Scenario: Invalid lines are reported
    Then these input lines get the error 400 "batch-invalid" for the lines "1, 2, 3"
      | {                                                                                                                  |
      | {"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"other"}}                            |
      | {"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":{"model":"olmo","user":"jl_m_museum-secret"}} |

  Scenario: A batch with a missing file or an unsupported endpoint is refused
    Then a batch of the file "file-00" at "/v1/chat/completions" gets the error 404 "not-found"
    And a batch of the file "file-00" at "/v1/embeddings" gets the error 400 "body-invalid"

  Scenario: Lists are paged, and files can be deleted
    When 5 files are uploaded and the newest is deleted
    Then the client lists 4 files in pages of 2, newest first

  Scenario Outline: The platform does not respond
    Given the platform <fault>
    Then an upload gets the error 503 "platform-unavailable", <run>

    Examples:
      | fault                        | run             |
      | is down                      | not run         |
      | loses responses and rejects reads | outcome unknown |

  Scenario: A download fails when results cannot be read
    When 150 items are submitted, of which item 3 fails
    And the agents run the job
    Then the download of the output file fails if a chunk is unreadable

  Scenario: An upload over the size limit is refused before it is read
    Then an upload with a content length of 300000000 bytes gets status 413
