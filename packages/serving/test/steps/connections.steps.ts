import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
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

/** Headers that the HTTP client rejects, as alternating names and values. */
const rejectedHeaders: Readonly<Record<string, string[]>> = {
  'a malformed header': ['host', 'x.example', 'x more', 'y'],
  'two hosts': ['host', 'x.example', 'host', 'y.example'],
};

const send = async (
  world: ConnectionWorld,
  address: string,
  headers: string[] = [],
): Promise<void> => {
  const client = new TargetClient();
  Object.assign(world, { client });
  const outcome = await runAttempt({
    client,
    dialect: plainDialect,
    target: createTarget(address),
    request: { ...plainRequest, headers },
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
  Object.assign(world, { outcome });
};

When(
  'a request is sent to a target at {string}',
  async function (this: ConnectionWorld, address: string) {
    await send(this, address);
  },
);

When(
  /^a request with (.+) is sent to a target$/,
  async function (this: ConnectionWorld, request: string) {
    const target = createServer().listen(0, '127.0.0.1');
    await once(target, 'listening');
    const { port } = target.address() as AddressInfo;
    await send(this, `127.0.0.1:${port}`, rejectedHeaders[request]);
    target.close();
  },
);

Then(
  'the attempt ends as not run, and the target does not count as failing',
  function (this: ConnectionWorld) {
    assert.equal(this.outcome.kind, 'not-run');
    assert.ok(!isTargetFault(this.outcome));
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
