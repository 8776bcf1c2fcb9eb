import assert from 'node:assert/strict';
import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { After, Then, When } from '@cucumber/cucumber';
import { hasValidHead } from '@jacinthlug/serving/http/hasValidHead';
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
  /** Messages of failed requests. */
  failures: string[];
  /** Number of connections to the target. */
  connectionCount: number;
  receivedBytes: number;
  /** Largest number of bytes that were read from the connection and not passed on. Unit: bytes. */
  maxReadAhead: number;
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

Then(
  /^the head of a request for "([^"]+)" is (valid|invalid)$/,
  (target: string, verdict: string) => {
    const url = JSON.parse(`"${target}"`) as string;
    const isValid = hasValidHead({ url, rawHeaders: ['Host', 'x.example'], httpVersion: '1.1' });
    assert.equal(isValid, verdict === 'valid');
  },
);

When(
  /^(\d+) requests are sent to a target one after another, with responses of (\d+) bytes$/,
  async function (this: ConnectionWorld, count: string, bytes: string) {
    this.connectionCount = 0;
    const target = createHttpServer((message, response) => {
      message.resume();
      response.end('x'.repeat(Number(bytes)));
    }).listen(0, '127.0.0.1');
    target.on('connection', () => {
      this.connectionCount += 1;
    });
    await once(target, 'listening');
    const { port } = target.address() as AddressInfo;
    const client = new TargetClient();
    this.client = client;
    this.failures = [];
    const sendNext = (id: string): Promise<void> =>
      new Promise((resolve) => {
        client.send(
          createTarget(`127.0.0.1:${port}`),
          { ...plainRequest, id },
          {
            sent: () => undefined,
            head: () => undefined,
            data: () => undefined,
            // The connection is idle only after this call.
            end: () => setImmediate(resolve),
            fail: (error) => {
              this.failures.push(error.message);
              resolve();
            },
          },
        );
      });
    for (let request = 0; request < Number(count); request += 1) await sendNext(`r-${request}`);
    target.close();
  },
);

Then('all of them get their responses', function (this: ConnectionWorld) {
  assert.deepEqual(this.failures, []);
});

Then('the target has seen {int} connection', function (this: ConnectionWorld, count: number) {
  assert.equal(this.connectionCount, count);
});

/** Sends a response in chunks as fast as the connection takes them. */
const sendChunks = (socket: Socket, bytes: number, chunkBytes: number): void => {
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
  for (let sent = 0; sent < bytes; sent += chunkBytes) socket.write(chunk);
  socket.write('0\r\n\r\n');
};

When(
  /^a target sends a response of 2,000,000 bytes in chunks of (\d+) bytes, (.+)$/,
  async function (this: ConnectionWorld, size: string, pace: string) {
    const bytes = 2_000_000;
    const target = createServer((socket) => {
      // Before it ends, a response that is broken off resets the connection.
      socket.on('error', () => undefined);
      socket.once('data', () => sendChunks(socket, bytes, Number(size)));
    }).listen(0, '127.0.0.1');
    await once(target, 'listening');
    const { port } = target.address() as AddressInfo;
    const sockets: Socket[] = [];
    const addSocket = (message: unknown): void => {
      sockets.push((message as { socket: Socket }).socket);
    };
    subscribe('undici:client:connected', addSocket);
    const client = new TargetClient();
    this.client = client;
    this.receivedBytes = 0;
    this.maxReadAhead = 0;
    await new Promise<void>((resolve, reject) => {
      const call = client.send(createTarget(`127.0.0.1:${port}`), plainRequest, {
        sent: () => undefined,
        head: () => undefined,
        data: (part) => {
          this.receivedBytes += part.length;
          this.maxReadAhead = Math.max(
            this.maxReadAhead,
            sockets[0]!.bytesRead - this.receivedBytes,
          );
          if (pace === 'which is passed on at once') return;
          call.pause();
          setImmediate(() => call.resume());
        },
        end: () => resolve(),
        fail: reject,
      });
    });
    unsubscribe('undici:client:connected', addSocket);
    target.close();
  },
);

Then('the listener gets the whole response', function (this: ConnectionWorld) {
  assert.ok(this.receivedBytes >= 2_000_000);
});

Then(
  'the connection has never read {int} bytes ahead of the listener',
  function (this: ConnectionWorld, max: number) {
    assert.ok(this.maxReadAhead < max, `${this.maxReadAhead} bytes`);
  },
);

After(function (this: Partial<ConnectionWorld>) {
  this.client?.close();
});
