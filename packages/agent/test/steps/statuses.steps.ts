import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { Then, When } from '@cucumber/cucumber';
import type { Dispatcher } from 'undici';
import type { CrashDetector } from '../../src/core/target/CrashDetector.js';
import { TargetClient } from '../../src/core/target/TargetClient.js';

interface StatusWorld {
  result: Awaited<ReturnType<TargetClient['send']>>;
}

When('a target responds with status {int}', async function (this: StatusWorld, status: number) {
  const dispatcher = {
    request: () =>
      Promise.resolve({ statusCode: status, headers: {}, body: Readable.from(['part']) }),
  } as unknown as Dispatcher;
  const client = new TargetClient(
    'http://127.0.0.1:1',
    dispatcher,
    {} as CrashDetector,
    { record: () => undefined },
    () => undefined,
  );
  const controller = new AbortController();
  this.result = await client.send({
    id: 'r-1',
    method: 'POST',
    path: '/',
    headers: {},
    body: 'hello',
    signal: controller.signal,
    inFlight: {} as Parameters<TargetClient['send']>[0]['inFlight'],
  });
});

Then('the request has failed', function (this: StatusWorld) {
  assert.equal(this.result.isErr() && this.result.error.kind, 'failed');
});
