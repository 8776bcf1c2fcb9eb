Feature: Registrations that disappear around an outage of the store
  Guards against requests to targets that have left, and against the loss of targets that only could not renew their
  registration.

  Background:
    Given a host that follows targets "t-1" and "t-2" and another table

  # Guards against a target that stays in use because this host, or one of its calls, lost its connection.
  Scenario Outline: A target that leaves while calls of this host fail is removed at the next read
    When calls for <tables> fail for <ms> ms, and target "t-1" leaves meanwhile
    Then the host uses targets "t-2"

    Examples:
      | tables      | ms   |
      | both tables | 800  |
      | the targets | 1200 |
      | the targets | 5000 |

  # Guards against a target that stays in use for longer because the targets are read later than other tables.
  Scenario: The time to renew a registration counts from the first response of the store
    When calls for both tables fail for 4000 ms, and target "t-1" leaves meanwhile
    And calls for the targets fail for 2500 ms longer
    Then the host uses targets "t-2"

  # Guards against the loss of all targets after an outage in which their registrations expired.
  Scenario: A target whose registration expires in an outage of the store stays in use
    When calls for both tables fail for 4000 ms, and target "t-1" leaves meanwhile
    And calls for both tables get responses again
    Then the host uses targets "t-1, t-2"

  # Guards against a version that counts as in service though none of its targets has come back.
  Scenario: Listeners hear of a target that has not renewed its registration
    When target "t-1" leaves 1950 ms after an outage of the store
    Then listeners of the list hear that only "t-2" is left
