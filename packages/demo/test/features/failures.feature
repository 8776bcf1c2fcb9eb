Feature: Failures of real processes
  Each scenario damages the fleet, so the next one starts a new fleet.

  Background:
    Given a running fleet
    And the fleet is discarded afterwards

  Scenario: An agent is killed in the middle of a chunk
    Guards against items that are lost with their holder, or that complete twice.
    Given a batch job of 200 items of 10 tokens
    When the job runs and the agent of an engine is killed
    Then the job completes with each item exactly once

  Scenario: Chats are sent right after an agent was killed under a batch job
    Guards against refusals while other agents are free.
    Given a batch job of 200 items of 10 tokens
    When the job runs and the agent of an engine is killed
    And 20 chats are sent at once through entry host 1
    Then each of these chats is answered with 200

  Scenario: An agent is frozen past its lease and wakes
    Guards against a result that is made visible by a holder whose lease lapsed.
    Given a batch job of 200 items of 10 tokens
    When the job runs and the agent of an engine is frozen for 5 s
    Then the job completes with each item exactly once

  Scenario: The entry host is killed right after it acknowledged a job
    Guards against an acknowledgement of a job that is not durable.
    Given a batch job of 20 items of 5 tokens
    When entry host 2 is killed
    Then the job completes with each item exactly once

  Scenario: The entry host is killed while a call that may not be repeated runs
    Guards against a second run when the caller sends the call again through another entry host.
    Given each service takes 1500 ms
    When a call that may not be repeated is sent through entry host 1
    And entry host 1 is killed while the call runs
    And the same call is sent through entry host 2
    Then the answer is 409 with result code 1302 and "outcome unknown"
    And the services were given the call once

  Scenario: The answer of a call that may not be repeated is lost
    Guards against a retry of a call that has run.
    Given each service loses its next answer
    When a call that may not be repeated is sent through entry host 1
    And the same call is sent through entry host 2
    Then no answer says "not run"
    And the services were given the call once

  Scenario: No claim can be written while the table is down
    Guards against a call that runs without a claim, and against a false "not run".
    Given callers are served through each entry host
    And the table is down
    When a call that may not be repeated is sent through entry host 1
    Then the answer is 503 with result code 1301 and "not run"
    And the services were not given the call

  Scenario: The platform is down for longer than every lease
    Guards against a fleet that refuses everybody because the platform does not answer.
    Given callers are served through each entry host
    When the table and the object store are down for 12 s
    Then chats are served through each entry host all the while
    And an edit is refused

  Scenario Outline: A planned stop of <process> cuts no request
    Guards against a graceful shutdown that cuts streams, batch items or calls.
    Given a stream of 100 tokens runs through each entry host
    When <process> gets SIGTERM twice
    Then each stream ends whole
    And <process> ends with exit code 0

    Examples:
      | process                |
      | entry host 1           |
      | the agent of a stream  |

  Scenario: A leaving target gets no new work
    When the host list says that the agent of an engine leaves
    Then after 3 s the engine is given no request of 30

  Scenario: A request that crashes each target
    Guards against a request that costs every target, by retries or by resends.
    When a request that crashes targets is sent 4 times through each entry host
    Then at most 2 engines crashed
    And the last answer is 422 with result code 1204 and "not run"
    And other requests are served

  Scenario: A key is withdrawn while an entry host is frozen
    Guards against a process that wakes with an old configuration and acts on it.
    When entry host 2 is frozen, a key is withdrawn, and the host wakes 4 s later
    Then the withdrawn key is never served

  Scenario: A withdrawn key ends a stream
    Given a stream of 400 tokens runs through each entry host
    When the key of the streams is withdrawn
    Then each stream ends within 3000 ms and not whole

  Scenario: Two operators race
    Guards against an edit that silently overwrites another.
    When two operators apply different declarations to the same version
    Then one is accepted and the other is refused with result code 1503
