Feature: Claims and commits of chunks
  Guards against an item whose result is visible twice or not at all, and against a cancelled job
  that goes on. Events happen in the order given; the results of each holder tell who made them.

  Scenario Outline: <case>
    Given an accepted job of 150 items
    When these happen: <events>
    Then the outcomes are: <outcomes>
    And chunk 0 shows the results of "<visible>"
    And the job is "<state>", and queued only while it is open

    Examples: A chunk is claimed
      | case                                       | events                                                                         | outcomes                        | visible | state |
      | Two agents claim one chunk                 | first and second claim at once                                                 | claimed, lost                   | nobody  | open  |
      | A held chunk is claimed                    | first claims 0; 50 s pass; first renews; 50 s pass; second claims 0            | claimed, renewed, lost          | nobody  | open  |
      | A renewal lands late                       | first claims 0; first renews, landing 30 s later; 50 s pass; second claims 0   | claimed, renewed, lost          | nobody  | open  |
      | A chunk is released                        | first claims 0; first releases; second claims 0; lapses of second              | claimed, released, claimed, 0   | nobody  | open  |
      | A holder is lost with a recorded item      | first claims 0; first records 7; 61 s pass; second claims 0; lapses of second; crashed of second | claimed, recorded, claimed, 1, 7 | nobody | open |

    Examples: A chunk is committed
      | case                                       | events                                                                         | outcomes                         | visible | state |
      | A commit is repeated                       | first claims 0; first commits; first commits                                   | claimed, committed, committed    | first   | open  |
      | Answers are lost and settled by token      | answers are lost; first claims 0; first commits                                | claimed, committed               | first   | open  |
      | Answers are lost and settled by read-back  | answers are lost; settling gives up; first claims 0; first commits             | claimed, committed               | first   | open  |
      | A paused holder commits after another      | first claims 0; 61 s pass; second claims 0; second commits; first commits      | claimed, claimed, committed, lost | second | open  |
      | A paused holder commits before another     | first claims 0; 61 s pass; second claims 0; first commits; second commits      | claimed, claimed, lost, committed | second | open  |

    Examples: A job ends
      | case                                       | events                                                                         | outcomes                         | visible | state     |
      | A cancel comes before a commit             | first claims 0; cancel during the next write; first commits                    | claimed, ended                   | nobody  | cancelled |
      | A cancel comes after a commit              | first claims 0; first commits; cancel                                          | claimed, committed, cancelled    | first   | cancelled |
      | A cancelled job is claimed                 | cancel; first claims 0                                                         | cancelled, ended                 | nobody  | cancelled |
      | A cancel is settled by read-back           | answers are lost; settling gives up; cancel                                    | cancelled                        | nobody  | cancelled |
      | A cancel comes after the last commit       | first claims 0; second claims 1; first commits; second commits; cancel         | claimed, claimed, committed, committed, completed | first | completed |
