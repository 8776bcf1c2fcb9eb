import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { CallerServer } from '@jacinthlug/serving/http/CallerServer';
import { Shutdown } from '@jacinthlug/serving/http/Shutdown';

/** Size of a response that exceeds the buffers of the operating system. Unit: bytes. */
const RESPONSE_BYTES = 32_000_000;

/** Time of the stop. Unit: ms. */
const STOP_MS = 2000;

interface StoppingWorld {
  server: CallerServer;
  shutdown: Shutdown;
  port: number;
  caller: Socket | undefined;
}

const pickPort = async (): Promise<number> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};

Given(
  'a server whose response of 32 MB has ended, and a caller that has read nothing',
  async function (this: StoppingWorld) {
    this.shutdown = new Shutdown();
    this.port = await pickPort();
    let hasEnded = false;
    this.server = new CallerServer((_, response) => {
      response.end(Buffer.alloc(RESPONSE_BYTES));
      hasEnded = true;
      return Promise.resolve();
    }, this.shutdown);
    await this.server.listen({ host: '127.0.0.1', port: this.port });
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

After(function (this: StoppingWorld) {
  this.caller?.destroy();
});
