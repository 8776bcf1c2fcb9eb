import assert from 'node:assert/strict';
import { After, Then, When } from '@cucumber/cucumber';
import { TargetClient } from '@jacinthlug/serving/http/TargetClient';
import {
  isTargetFault,
  runAttempt,
  type AttemptOutcome,
} from '@jacinthlug/serving/online/runAttempt';
import { createTarget, plainDialect, plainRequest } from '../fakes/attemptFakes.js';

interface ConnectionWorld {
  client: TargetClient | undefined;
  outcome: AttemptOutcome;
}

When(
  'a request is sent to a target at {string}',
  async function (this: ConnectionWorld, address: string) {
    this.client = new TargetClient();
    this.outcome = await runAttempt({
      client: this.client,
      dialect: plainDialect,
      target: createTarget(address),
      request: plainRequest,
      sink: {
        isContinuation: false,
        expectsEvents: false,
        lastEventId: undefined,
        progress: 0,
        isTruncated: false,
        isUnusable: false,
        begin: () => undefined,
        write: () => true,
        onceDrained: () => undefined,
      },
      signal: new AbortController().signal,
      headTimeoutMs: 4000,
      bodyIdleTimeoutMs: 4000,
      onIdleTimeout: () => true,
      maxResponseBytes: 1000,
      onResponse: () => undefined,
      onDraining: () => undefined,
      shouldRetryStatus: () => false,
    });
  },
);

Then(
  'the attempt ends as not run, and the target counts as failing',
  function (this: ConnectionWorld) {
    assert.equal(this.outcome.kind, 'not-run');
    assert.ok(isTargetFault(this.outcome));
  },
);

After(function (this: Partial<ConnectionWorld>) {
  this.client?.close();
});
