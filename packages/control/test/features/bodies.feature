Feature: Memory for request bodies
  Guards against bodies that take all memory of a process, and against a refusal of the wrong one of them.

  # Guards against a body of little use that keeps its memory while a useful one is refused.
  Scenario Outline: <case>
    # Name, holder, size, age, time without a byte (ms), and whether it is complete.
    Given a memory of 800000 bytes, which holds "<first>" and "<second>"
    When a body of <bytes> bytes of "<holder>" arrives
    Then it is <outcome>, and "<yielding>" yields

    Examples:
      | case                                                  | first                            | second                            | bytes  | holder | outcome  | yielding |
      | Bodies that fit are held                              | a harbor 300000 1000 0 no        | b harbor 300000 1000 0 no         | 50000  | quay   | held     |          |
      | The body that has been silent for longest yields      | a harbor 300000 9000 900 no      | b harbor 390000 9000 300 no       | 300000 | quay   | held     | a        |
      | A silent body yields before a slow one                | a harbor 300000 1000 900 no      | b harbor 100000 9000 0 no         | 400000 | quay   | held     | a        |
      | The slowest body yields if none is silent             | a harbor 300000 1000 0 no        | b harbor 300000 9000 0 no         | 300000 | quay   | held     | b        |
      | The holder that holds most yields                     | a harbor 200000 9000 900 no      | b quay 400000 1000 0 no           | 300000 | cove   | held     | b        |
      | A complete body does not yield                        | a harbor 390000 9000 900 yes     | b harbor 200000 1000 0 no         | 300000 | quay   | held     | b        |
      | A body is refused beside complete ones                | a harbor 400000 9000 900 yes     | b harbor 200000 9000 900 yes      | 300000 | quay   | refused  |          |
      | A small body is held beside complete ones             | a harbor 400000 9000 900 yes     | b harbor 290000 9000 900 yes      | 1500   | quay   | held     |          |
      | A large body yields before a small one                | a harbor 1500 9000 900 no        | b harbor 690000 1000 0 no         | 300000 | quay   | held     | b        |
      | A body larger than the memory is refused              | a harbor 1500 9000 0 yes         | b harbor 1500 9000 0 yes          | 900000 | quay   | refused  |          |

  # Guards against bytes that are lost or repeated when a block grows, and against a block that exceeds what was reserved.
  Scenario Outline: A block holds the pieces of a body in order
    When a block for <maximum> bytes gets <pieces> pieces of <size> bytes
    Then it holds all of them in order, and was never larger than announced

    Examples:
      | maximum | pieces | size  |
      | 4194304 | 64     | 65536 |
      | 4194304 | 5000   | 1     |
      | 4194304 | 300    | 999   |
      | 1500    | 1      | 1500  |
      | 70000   | 7      | 10000 |
