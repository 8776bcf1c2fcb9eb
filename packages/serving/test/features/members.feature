Feature: Reports of hosts that start anew
  Guards against hosts that stay unheard after a restart because their wall clock was set back, and against
  late reports of processes that are gone.

  Scenario: A host that was started again with its clock set back is heard
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    Then the last report is taken
    And process 100 of "h-2" is at work
    And process 900 of "h-2" is not at work

  Scenario: A late report of an earlier process is dropped
    Given a host that hears others
    When process 900 of "h-2" reports for the 40th time, 60 s after its start
    And process 100 of "h-2" reports for the 1st time, 1 s after its start
    And process 900 of "h-2" reports for the 41st time, 60 s after its start
    Then the last report is dropped
    And process 100 of "h-2" is at work

  Scenario: A report that another one has overtaken is dropped
    Given a host that hears others
    When process 900 of "h-2" reports for the 41st time, 60 s after its start
    And process 900 of "h-2" reports for the 40th time, 60 s after its start
    Then the last report is dropped
