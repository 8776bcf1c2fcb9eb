import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { Agent } from 'undici';
import type { TargetSlots } from '../../src/core/admission/TargetSlots.js';
import { BatchAccess } from '../../src/core/target/BatchAccess.js';
import type { CrashDetector } from '../../src/core/target/CrashDetector.js';
import type { ServedModels } from '../../src/core/target/ServedModels.js';
import { TargetClient } from '../../src/core/target/TargetClient.js';

/** Time between the end of the target's side and its close, in which the end is read. Unit: ms. */
const CLOSE_DELAY_MS = 20;

/** Time after which a request to a target that says nothing more is given up. Unit: ms. */
const TIMEOUT_MS = 3000;

const responses: Readonly<Record<string, string>> = {
  'a part without a length': 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{"a":1}',
  'a part of an event stream':
    'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: {"a":1}\n\n',
  'status 000 with a length': 'HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\n{}',
  'status 000 without a length': 'HTTP/1.1 000 None\r\n\r\n{}',
};

const endings: Readonly<Record<string, (socket: Socket) => void>> = {
  'ends its side of the connection': (socket) => socket.end(),
  'closes the connection': (socket) => {
    socket.end();
    setTimeout(() => socket.destroy(), CLOSE_DELAY_MS);
  },
  'keeps the connection open': () => undefined,
};

interface EarlyWorld {
  earlyTarget: Server | undefined;
  sockets: Socket[];
  outcome: Awaited<ReturnType<BatchAccess['run']>>;
  durationMs: number;
}

After(function (this: EarlyWorld) {
  this.earlyTarget?.close();
  this.sockets?.forEach((socket) => socket.destroy());
});

Given(
  /^a target that responds to an unread request with (.+), and (.+)$/,
  async function (this: EarlyWorld, response: string, ending: string) {
    this.sockets = [];
    this.earlyTarget = createServer({ allowHalfOpen: true }, (socket) => {
      this.sockets.push(socket.on('error', () => undefined));
      socket.once('data', () => {
        socket.pause().write(responses[response]!);
        endings[ending]!(socket);
      });
    }).listen(0, '127.0.0.1');
    await once(this.earlyTarget, 'listening');
  },
);

When('a batch item of 200 KB is sent to it', async function (this: EarlyWorld) {
  const dispatcher = new Agent();
  const crashDetector = {
    add: () => undefined,
    remove: () => undefined,
    classifyDrop: () => Promise.resolve(undefined),
  } as unknown as CrashDetector;
  const { port } = this.earlyTarget!.address() as AddressInfo;
  const client = new TargetClient(
    `http://127.0.0.1:${port}`,
    dispatcher,
    crashDetector,
    { record: () => undefined },
    () => undefined,
  );
  const models = { checkModel: () => undefined, checkNotFound: () => Promise.resolve(undefined) };
  const access = new BatchAccess(
    {} as TargetSlots,
    client,
    crashDetector,
    models as unknown as ServedModels,
  );
  const request = { method: 'POST', path: '/', headers: {}, body: 'x'.repeat(200_000) };
  const startedAt = performance.now();
  this.outcome = await access.run(request, AbortSignal.timeout(TIMEOUT_MS));
  this.durationMs = performance.now() - startedAt;
  await dispatcher.destroy();
});

Then('the item has failed', function (this: EarlyWorld) {
  assert.equal(this.outcome.isErr() && this.outcome.error.kind, 'failed');
  assert.ok(this.durationMs < TIMEOUT_MS, `${this.durationMs}`);
});
