Feature: Search order for free chunks
  Guards against an account whose jobs wait behind the large jobs of another account, and against a
  job that is searched before one that is due an hour earlier.

  Scenario Outline: <case>
    Given queued jobs: <jobs>
    Then 40 searches start with: <first>

    Examples:
      | case                                          | jobs                                              | first        |
      | Accounts alternate within an hour             | big of harbor due in 10 min, two of harbor due in 11 min, small of museum due in 12 min | big or small |
      | A job that is due an hour earlier comes first | small of museum due in 90 min, big of harbor due in 10 min | big          |
      | Jobs of one account are sorted by due time    | late of harbor due in 12 min, early of harbor due in 10 min | early        |
