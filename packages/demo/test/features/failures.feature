Feature: Failures of real processes
  Each scenario damages the fleet, so the next one starts a new fleet.

  Background:
    Given a running fleet
    And the fleet is stopped after the scenario

  Scenario: An agent is killed in the middle of a chunk
    Guards against items that are lost with their holder and against items that complete twice.
    Given a batch job of 200 items of 10 tokens
    When the job runs and the agent of an engine is killed
    Then the job completes with each item exactly once

  Scenario: Chats are sent right after an agent is killed during a batch job
    Guards against refusals while other agents have capacity.
    Given a batch job of 200 items of 10 tokens
    When the job runs and the agent of an engine is killed
    And 20 chats are sent at once through entry host 1
    Then each of these chats gets status 200

  Scenario: An agent is suspended until its lease has expired, then resumed
    Guards against a result that is published by a holder whose lease has expired.
    Given a batch job of 200 items of 10 tokens
    When the job runs and the agent of an engine is suspended for 5 s
    Then the job completes with each item exactly once

  Scenario: The entry host is killed right after it acknowledged a job
    Guards against a job that is acknowledged before it is stored durably.
    Given a batch job of 20 items of 5 tokens
    When entry host 2 is killed
    Then the job completes with each item exactly once

  Scenario: The entry host is killed while a non-idempotent call runs
    Guards against a second run when the caller sends the call again through another entry host.
    Given each service takes 1500 ms
    When a non-idempotent call is sent through entry host 1
    And entry host 1 is killed while the call runs
    And the same call is sent through entry host 2
    Then the response is 409 with result code 1302 and "outcome unknown"
    And the services received the call once

  Scenario: The response to a non-idempotent call is lost
    Guards against a retry of a call that has already run.
    Given each service drops its next response
    When a non-idempotent call is sent through entry host 1
    And the same call is sent through entry host 2
    Then no response states "not run"
    And the services received the call once

  Scenario: No claim can be written while the table is down
    Guards against a call that runs without a claim and against a false "not run".
    Given callers are served through each entry host
    And the table is down
    When a non-idempotent call is sent through entry host 1
    Then the response is 503 with result code 1301 and "not run"
    And the services did not receive the call

  Scenario: The platform is down for longer than any lease
    Guards against a fleet that refuses all requests while the platform does not respond.
    Given callers are served through each entry host
    When the table and the object store are down for 12 s
    Then chats are served through each entry host during the outage
    And an edit is refused

  Scenario Outline: A graceful shutdown of <process> interrupts no request
    Guards against a shutdown that interrupts streams, batch items or calls.
    Given a stream of 100 tokens runs through each entry host
    When <process> receives SIGTERM twice
    Then each stream is complete
    And <process> exits with code 0

    Examples:
      | process                |
      | entry host 1           |
      | the agent of a stream  |

  Scenario: A draining target gets no new requests
    When the host list marks the agent of an engine as leaving
    Then after 3 s the engine receives none of 30 requests

  Scenario: A request crashes each target that runs it
    Guards against a request that takes down all targets through retries or repeated sends.
    When a request that crashes targets is sent 4 times through each entry host
    Then at most 2 engines crashed
    And the last response is 422 with result code 1204 and "not run"
    And other requests are served

  Scenario: A key is withdrawn while an entry host is suspended
    Guards against a process that acts on an outdated configuration after it is resumed.
    When entry host 2 is suspended, a key is withdrawn, and the host is resumed 4 s later
    Then no request with the withdrawn key is served

  Scenario: A withdrawn key ends running streams
    Given a stream of 400 tokens runs through each entry host
    When the key of the streams is withdrawn
    Then each stream ends within 3000 ms and is incomplete

  Scenario: Two operators edit the same version
    Guards against an edit that silently overwrites another.
    When two operators apply different declarations to the same version
    Then one is accepted and the other is refused with result code 1503
