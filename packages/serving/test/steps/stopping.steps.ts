import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { startCallerServer, type StartedServer } from '../fakes/startCallerServer.js';

/** Size of a response that exceeds the buffers of the operating system. Unit: bytes. */
const RESPONSE_BYTES = 32_000_000;

/** Time of the stop. Unit: ms. */
const STOP_MS = 2000;

interface StoppingWorld extends StartedServer {
  caller: Socket | undefined;
  /** Whether the connection has closed before unfinished requests were ended. */
  hasClosedEarly: boolean;
}

/** What a caller may send in parts. */
const parts: Readonly<Record<string, string>> = {
  nothing: '',
  'a request': 'GET / HTTP/1.1\r\nhost: x.example\r\n\r\n',
  'a request in chunks':
    'POST / HTTP/1.1\r\nhost: x.example\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n',
  'a line break': '\r\n',
  'many line feeds': '\n'.repeat(9),
};

Given(
  'a server whose response of 32 MB has ended, and a caller that has read nothing',
  async function (this: StoppingWorld) {
    let hasEnded = false;
    const started = await startCallerServer((_, response) => {
      response.end(Buffer.alloc(RESPONSE_BYTES));
      hasEnded = true;
    });
    Object.assign(this, started);
    this.caller = connect(this.port, '127.0.0.1');
    this.caller.on('error', () => undefined);
    this.caller.write('GET / HTTP/1.1\r\nhost: x.example\r\n\r\n');
    while (!hasEnded) await sleep(10);
  },
);

When(
  'the server stops, and the caller reads once it listens no more',
  async function (this: StoppingWorld) {
    const stopped = this.server.stop(performance.now() + STOP_MS);
    while (!this.shutdown.isIntakeOver) await sleep(10);
    // The step after the end of the intake is one turn of the event loop later.
    await sleep(50);
    this.caller!.resume();
    await Promise.all([stopped, once(this.caller!, 'close')]);
  },
);

Then('the caller has got the whole response', function (this: StoppingWorld) {
  assert.ok(this.caller!.bytesRead > RESPONSE_BYTES);
});

Given(
  /^a server, and a caller that has sent (.+) and then (.+)$/,
  async function (this: StoppingWorld, first: string, then: string) {
    Object.assign(this, await startCallerServer((_, response) => response.end()));
    this.caller = connect(this.port, '127.0.0.1').resume();
    await once(this.caller, 'connect');
    if (parts[first]) {
      this.caller.write(parts[first]);
      await once(this.caller, 'data');
    }
    this.caller.write(parts[then]!);
  },
);

When('the server stops', async function (this: StoppingWorld) {
  let isOver = false;
  this.shutdown.onAnswersDue(() => {
    isOver = true;
  });
  this.caller!.once('close', () => {
    this.hasClosedEarly = !isOver;
  });
  await Promise.all([this.server.stop(performance.now() + STOP_MS), once(this.caller!, 'close')]);
});

Then('the connection has closed before the end of the stop', function (this: StoppingWorld) {
  assert.ok(this.hasClosedEarly);
});

After(function (this: StoppingWorld) {
  this.caller?.destroy();
});
