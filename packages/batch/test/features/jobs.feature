Feature: Acceptance of jobs
  Guards against a job that runs twice because its submission was repeated, a job that is acknowledged
  but lost, and a refusal that states "not run" although the job was accepted.

  Scenario Outline: <case>
    Given an empty platform where <fault>
    When these submissions are made: <submissions>
    Then their outcomes are: <outcomes>
    And the queue holds <queued> jobs

    Examples:
      | case                                           | fault                        | submissions                                        | outcomes             | queued |
      | The response of the acceptance is lost         | responses are lost           | 3 items; 3 items again                             | new job, job 1       | 1      |
      | The outcome of the acceptance stays unknown    | no write is retried          | 3 items; 3 items again                             | new job, job 1       | 1      |
      | The same content is uploaded again             | nothing fails                | 3 items; 3 items in another file                   | new job, job 1       | 1      |
      | Two identical submissions race                 | nothing fails                | 3 items twice at once                              | new job, job 1       | 1      |
      | The same content is run again intentionally    | nothing fails                | 3 items; 3 items again with key second; 3 items again a day later | new job, new job, new job | 3 |
      | An idempotency key is used for another job     | nothing fails                | 3 items with key one; 4 items with key one         | new job, identity-reused | 1  |
      | The table is down                              | the table fails after a read | 3 items                                            | unavailable          | 0      |
      | The input file is deleted meanwhile            | the file is deleted on read  | 3 items                                            | not-found            | 0      |
