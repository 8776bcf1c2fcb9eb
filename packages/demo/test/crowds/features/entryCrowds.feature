Feature: Crowds of callers that nobody controls, at entry hosts
  Guards against callers that make an entry host, or the agents that it forwards to, hold so much for requests without an
  end that the process runs out of memory or descriptors, and ends the requests of all callers.

  # Guards against the memory that an entry host holds for the bodies, heads and pieces of all callers together.
  Scenario Outline: A crowd sends <form> on the <route> route of an entry host with <key> key
    Given machines with 260 MB of memory for entry hosts, 260 MB for agents, and 400 descriptors
    When 48 callers send "<form>" on the <route> route of 1 entry host with <key> key
    Then no process has ended
    And each process has stayed within its memory and descriptors
    And an ordinary request beside the crowd was answered, and one after it was served

    Examples:
      | form                                         | route    | key     |
      | whole bodies                                 | declared | a valid |
      | whole bodies                                 | chat     | a valid |
      | whole bodies                                 | upload   | a valid |
      | bodies one byte short                        | declared | a valid |
      | bodies one byte short                        | chat     | a valid |
      | bodies one byte short                        | upload   | a valid |
      | bodies one byte short                        | declared | no      |
      | bodies one byte short in pieces              | declared | a valid |
      | large chunks without end                     | declared | a valid |
      | large chunks without end                     | upload   | a valid |
      | chunks of one byte without end               | declared | a valid |
      | chunks of one byte without end               | upload   | a valid |
      | chunks of one byte without end               | batch    | a valid |
      | chunks of one byte without end               | declared | no      |
      | bodies announced far over the limit          | declared | a valid |
      | bodies announced and sent far over the limit | declared | a valid |
      | chunks far over the limit                    | declared | a valid |
      | heads without end                            | declared | a valid |

  # Guards against the sum of what several entry hosts forward to one agent.
  Scenario: Crowds of two entry hosts send whole bodies to the same agents
    Given machines with 700 MB of memory for entry hosts, 230 MB for agents, and 400 descriptors
    When 80 callers send "whole bodies" on the declared route of 2 entry hosts with a valid key
    Then no process has ended
    And each process has stayed within its memory and descriptors
    And an ordinary request beside the crowd was answered, and one after it was served

  # Guards against connections that take all descriptors, so that an entry host reaches neither agents nor table.
  Scenario Outline: A crowd opens more connections than there are descriptors, and sends <form>
    Given machines with 260 MB of memory for entry hosts, 260 MB for agents, and 400 descriptors
    When 240 callers send "<form>" on the declared route of 1 entry host with a valid key
    Then no process has ended
    And each process has stayed within its memory and descriptors
    And an ordinary request beside the crowd was answered, and one after it was served

    Examples:
      | form                           |
      | nothing                        |
      | heads without end              |
      | bodies one byte short          |
      | chunks of one byte without end |
