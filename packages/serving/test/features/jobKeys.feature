Feature: Keys of batch jobs in the store
  Callers choose the ids of their jobs, and operators the names of accounts. Guards against names that join to the same key,
  and against ranges that contain rows of another job.

  # Guards against rows of one job that are taken for those of another, whatever the names of both are.
  Scenario: Keys of two jobs differ, and no range of one contains a key of the other
    Then this holds for any two jobs of any accounts

  # Guards against results that change their position, or that are left out, as the order of keys is not that of positions.
  Scenario: A range of a job's results contains their keys in the order of their positions
    Then this holds for any range of any job

  # Guards against mixed jobs while hosts are updated, as some have accepted jobs with keys of the earlier format.
  Scenario: Any two jobs with keys of any formats keep their results, saved output and content apart
    Then this holds for any two jobs that hosts of any versions have accepted

  # Guards against jobs that are lost, run again or change their results when hosts are updated.
  Scenario Outline: A job "<job>" that a host of an earlier version has accepted is continued by one of the current version
    Given hosts "h-1" and "h-2" with a store, of which "h-1" joins names as earlier versions do
    When job "<job>" with 3 items is submitted to "h-1"
    And "h-1" outputs events 1 to 40 of item 1 and saves its progress
    And "h-2" takes over the job
    Then at "h-2" item 1 resumes after event "40" and the others start from the beginning
    When "h-2" outputs events 41 to 45 of item 1 and stores its result
    Then "h-1" reads events 1 to 45 as the result of item 1
    And the store holds no saved output of unfinished items

    Examples:
      | job      |
      | night    |
      | night/2  |
      | night%2F |

  # Guards against a job that runs twice when it is submitted to hosts of two versions.
  Scenario Outline: A job "<job>" that is submitted to "<first>" and then to a host of another version is accepted once
    Given hosts "h-1" and "h-2" with a store, of which "h-1" joins names as earlier versions do
    When job "<job>" with 3 items is submitted to "<first>"
    And job "<job>" with 3 items is submitted to "<second>", which does not know the other job
    Then both are told that it is accepted
    And the store holds 1 job, held by "<first>"

    Examples:
      | job     | first | second |
      | night/2 | h-1   | h-2    |
      | night/2 | h-2   | h-1    |
      | night   | h-1   | h-2    |

  # Guards against saved output of another job in the rows that earlier versions have written.
  Scenario: A job that an earlier version has accepted is not resumed after the output of a job whose id continues its own
    Given hosts "h-1" and "h-2" with a store, of which "h-1" joins names as earlier versions do
    When job "night/2" with 3 items is submitted to "h-1"
    And "h-1" outputs events 1 to 40 of item 1 and saves its progress
    And job "night" with 3 items is submitted to "h-1"
    Then at "h-2" all items start from the beginning

  # Guards against a limit that jobs with keys of the earlier format are not counted for.
  Scenario: Jobs with keys of both formats count for the token limit of their account
    Given hosts "h-1" and "h-2" with a store, of which "h-1" joins names as earlier versions do
    And the account is named "fitters/eu", and may have 450 tokens waiting
    When job "night/1" with 3 items is submitted to "h-1"
    And job "night/2" with 3 items is submitted to "h-2", which does not know the other job
    Then the caller is refused with "job-over-limit"
