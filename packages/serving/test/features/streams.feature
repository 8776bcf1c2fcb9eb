Feature: Versions of the streams that callers take up again
  Guards against streams that go on at a version which did not begin them, and against refusals of streams whose
  version other hosts know.

  Scenario: Hosts learn the versions of open streams from reports of limited size
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 100 streams of "v1" begin at "h-1"
    And "h-1" sends 9 reports of at most 12 streams to "h-2"
    Then "h-2" finds version "v1" for all of them

  Scenario: Complete streams are not reported
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 20 streams of "v1" begin at "h-1"
    And the streams complete
    Then the next report of "h-1" has 0 streams

  # Guards against the version of a target whose response another one replaces before the caller gets a part of it.
  Scenario Outline: Hosts learn the version whose event a caller gets, and none before, from <source>
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When a target of "v1" sends a head at "h-1"
    And <source> reach the other host
    Then "<host>" finds no version for any of them
    When a target of "v2" sends a head and an event at "h-1"
    And <source> reach the other host
    Then "<host>" finds version "v2" for all of them
    And the version was known when the event was passed on

    Examples:
      | source                                            | host |
      | reports                                           | h-2  |
      | reports, the first ones last                      | h-2  |
      | rows of the store                                 | h-2  |
      | rows of the store, after the host starts again    | h-1  |

  # Guards against continuations that wait longer than needed for a version that another host is about to report.
  Scenario: A host that looks for a version takes it from the next report
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 1 streams of "v2" begin at "h-1", whose store is down
    And "h-2" looks for them, and "h-1" reports them after a first read of the store
    Then "h-2" has found version "v2" with 1 reads of the targets

  # Guards against versions that are lost with all hosts.
  Scenario: Hosts that start after a loss of all hosts find the versions in the store
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 30 streams of "v1" begin at "h-1"
    And the hosts have saved them
    And all hosts are killed and start again with versions "v2"
    Then "h-1" finds version "v1" for all of them
    And "h-2" finds version "v1" for all of them

  # Guards against a new process that replaces the row of the one before, while other hosts still have to read it.
  Scenario: A host that starts keeps the streams of its previous process in the store
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 30 streams of "v1" begin at "h-1"
    And the hosts have saved them
    And host "h-1" is killed, starts again with versions "v2" and saves its row
    And all hosts are killed and start again with versions "v2"
    Then "h-2" finds version "v1" for all of them

  # Guards against a guess when the store was away from the moment a second version came.
  Scenario: Nothing is guessed after a loss of all hosts during an outage of the store
    Given hosts "h-1" and "h-2" that know versions "v1"
    And the hosts have saved them
    When the store goes down
    And version "v2" comes into service
    And 30 streams of "v2" begin at "h-1"
    And the store comes up, and all hosts are killed and start again with versions "v2"
    Then "h-2" finds no version for any of them

  # Guards against a host that is cut off from the store and knows only one of two versions.
  Scenario: A host that can't reach the store doesn't guess, but knows what others report
    Given hosts "h-1" and "h-2" that know versions "v1"
    And the hosts have saved them
    When the store goes down
    And 10 streams of "v2" begin at "h-1"
    Then "h-2" finds no version for any of them
    When "h-1" sends 1 reports of at most 12 streams to "h-2"
    Then "h-2" finds version "v2" for all of them

  # Guards against a host that has not yet heard of a second version.
  Scenario: A host learns of a version from the rows of other hosts
    Given hosts "h-1" and "h-2" that know versions "v1"
    And the hosts have saved them
    When version "v2" comes into service at "h-1" only
    And the hosts have saved them
    Then "h-2" finds no version for a stream that no host has seen

  # Guards against a guess by a host that has missed a version, while no other host has saved that it serves.
  Scenario: A host that has missed a version finds it among the registered targets
    Given hosts "h-1" and "h-2" that know versions "v1"
    And the hosts have saved them
    When version "v2" comes into service, and the hosts hear nothing of it
    Then "h-2" finds no version for a stream that no host has seen

  # Guards against a guess by a host that has missed a version, when other hosts have saved it some time ago.
  Scenario: A host that can't read the targets doesn't guess from an older row of another host
    Given hosts "h-1" and "h-2" that know versions "v1"
    And the hosts have saved them
    When version "v2" comes into service, and the hosts hear nothing of it
    And "h-1" has written 20 s ago that version "v2" is in service
    And the hosts can't read the targets
    Then "h-2" finds no version for a stream that no host has seen

  Scenario: While one version serves, it has begun every stream, and the rows are written once
    Given hosts "h-1" and "h-2" that know versions "v1"
    When 30 streams of "v1" begin at "h-1"
    And the hosts have saved them
    Then "h-2" finds version "v1" for all of them
    And the store has had 2 writes

  Scenario: A version that left longer ago than callers wait can't have begun a stream
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When version "v1" has left 16 s ago
    Then only version "v2" can have begun a stream at "h-1"

  # Guards against streams that last longer than the versions of the targets that left meanwhile are remembered.
  Scenario: A version that left may have begun the streams that are still in progress
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When streams may last 60 s at "h-1"
    And version "v1" has left 65 s ago
    Then versions "v1" and "v2" can have begun a stream at "h-1"

  # Guards against a guess by a host that starts when one of two versions has just left.
  Scenario: A host that starts learns of a version that has just left
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When version "v1" leaves service
    And the hosts have saved them
    And host "h-2" is killed, starts again with versions "v2" and saves its row
    Then "h-2" finds no version for a stream that no host has seen

  # Guards against joined streams of which no log tells where a host has the version from.
  Scenario: A host states who told it the version of a stream first
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 10 streams of "v1" begin at "h-1"
    Then "h-1" states that "h-1" told the versions by "own"
    When the hosts have saved them
    And "h-2" reads the rows of all hosts
    And "h-1" sends 1 reports of at most 12 streams to "h-2"
    Then "h-2" states that "h-1" told the versions by "row"
    When all hosts are killed and start again with versions "v2"
    Then "h-1" states that "h-1" told the versions by "own-row"

  # Guards against the same, where a report comes before the row.
  Scenario: A host states that a report told it the version of a stream
    Given hosts "h-1" and "h-2" that know versions "v1" and "v2"
    When 10 streams of "v1" begin at "h-1"
    And "h-1" sends 1 reports of at most 12 streams to "h-2"
    Then "h-2" states that "h-1" told the versions by "report"

  # Guards against a part that is completed, and against two rules for the same proof.
  Scenario Outline: An end of <work> is proven by enough responses that end in the same place
    When responses to <work> end after events at targets: <ends>
    Then the end is <proven>

    Examples:
      | work   | ends                                    | proven     |
      | online | 3 at t-1                                | not proven |
      | online | 3 at t-1, 3 at t-1                      | not proven |
      | online | 3 at t-1, 3 at t-2                      | proven     |
      | online | 3 at t-1, 5 at t-2                      | not proven |
      | online | 3 at t-1, 5 at t-2, 5 at t-3            | proven     |
      | batch  | 3 at t-1, 3 at t-2                      | not proven |
      | batch  | 3 at t-1, 3 at t-2, 3 at t-1            | proven     |
      | batch  | 3 at t-1, 3 at t-2, 5 at t-1, 3 at t-2  | not proven |
      | batch  | 3 at t-1, 3 at t-1, 3 at t-1, 3 at t-1  | not proven |
      | batch  | 3 at t-1, 3 at t-1, 3 at t-1, 3 at t-1, 3 at t-1 | proven |
