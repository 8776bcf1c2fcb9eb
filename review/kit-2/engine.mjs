/** Stand-in of an engine: streams of numbered events, a few requests at once, the others queue. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const QUEUE = 24;

/** Time after which an engine that has crashed is back. Unit: ms. */
const RESTART_MS = 2500;

/**
 * An engine. A case may set `crashesOn`, which says of a request that begins to run whether the engine crashes on it,
 * and `garbles`, which says whether it gives a wrong answer to a request.
 */
export class Engine {
  running = 0;

  crashes = 0;

  waiting = [];

  /** Requests that began to run: id, headers, body and time. */
  runs = [];

  server = createServer((message, response) => {
    void this.respond(message, response);
  });

  constructor({
    id,
    service = 'asistente',
    zone,
    slots = 8,
    eventsByPath = { '/chat/': 36, '/query/': 5 },
    events = 247,
    eventMs = 20,
    createData = (request, event) => `${request} ${event}`,
    keepsBodies = false,
  }) {
    Object.assign(this, {
      id,
      service,
      zone,
      slots,
      eventsByPath,
      events,
      eventMs,
      createData,
      keepsBodies,
    });
  }

  async start(store) {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.store = store;
    this.register();
  }

  /** Begins an incarnation: registers, and repeats that at the interval of the pages. */
  register() {
    this.born = Date.now();
    this.sequence = 0;
    const write = () => {
      this.sequence += 1;
      this.store.write('servers', this.id, {
        service: this.service,
        address: this.address,
        zone: this.zone,
        version: 'v1',
        slots: this.slots,
        state: 'ready',
        cold_left_ms: 0,
        sequence: this.sequence,
        born: this.born,
      });
    };
    write();
    this.timer = setInterval(write, 1200);
  }

  /** Ends all connections, and takes new ones again after some seconds. */
  crash() {
    if (!this.server.listening) return;
    this.crashes += 1;
    this.server.closeAllConnections();
    this.server.close();
    clearInterval(this.timer);
    this.store.drop('servers', this.id);
    const [host, port] = this.address.split(':');
    this.restartTimer = setTimeout(() => {
      this.server.listen(Number(port), host, () => this.register());
    }, RESTART_MS);
  }

  stop() {
    clearTimeout(this.restartTimer);
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async respond(message, response) {
    const parts = [];
    try {
      for await (const part of message) parts.push(part);
    } catch {
      return;
    }
    const id = message.headers['x-request-id'] ?? '';
    const head = { 'x-request-id': id };
    const expected = message.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...head, 'x-not-executed': '1', 'content-length': 0 }).end();
      return;
    }
    let gone = false;
    response.once('close', () => {
      gone = true;
    });
    if (this.running >= this.slots) {
      if (this.waiting.length >= QUEUE) {
        response.writeHead(503, { ...head, 'x-not-executed': '1', 'content-length': 0 }).end();
        return;
      }
      await new Promise((resolve) => {
        this.waiting.push(resolve);
        response.once('close', () => {
          if (!this.waiting.includes(resolve)) return;
          this.waiting = this.waiting.filter((each) => each !== resolve);
          resolve();
        });
      });
      if (gone) {
        // A slot that was handed to a request without a caller goes to the next one.
        if (this.running < this.slots) this.waiting.shift()?.();
        return;
      }
    }
    this.running += 1;
    this.runs.push({
      id,
      at: performance.now(),
      path: message.url,
      after: message.headers['last-event-id'],
      ...(this.keepsBodies && { body: Buffer.concat(parts) }),
    });
    try {
      await this.stream(message, Buffer.concat(parts), response, id, head, () => gone);
    } finally {
      this.running -= 1;
      this.waiting.shift()?.();
    }
  }

  async stream(message, body, response, id, head, isGone) {
    if (this.crashesOn?.(message, body)) {
      // Its first token takes as long as any other.
      await sleep(this.eventMs);
      if (!isGone()) this.crash();
      return;
    }
    const after = Number(message.headers['last-event-id'] ?? 0);
    if (this.garbles?.(message)) {
      const wrong = `HTTP/1.1 101 Switching Protocols\r\nX-Request-Id: ${id}\r\nX-Server-Stamp: ${this.id}.${id}\r\n\r\n`;
      response.socket.write(wrong);
      await new Promise((resolve) => {
        response.once('close', resolve);
      });
      return;
    }
    const events = this.eventsByPath[`/${message.url.split('/')[1]}/`] ?? this.events;
    response.writeHead(200, {
      ...head,
      'content-type': 'text/event-stream',
      'x-server-stamp': `${this.id}.${id}`,
      'x-weight-versions': '1',
    });
    for (let event = after + 1; event <= events; event += 1) {
      if (this.eventMs > 0) await sleep(this.eventMs);
      if (isGone()) return;
      response.write(`id: ${event}\ndata: ${this.createData(id, event)}\n\n`);
    }
    response.end();
  }
}
