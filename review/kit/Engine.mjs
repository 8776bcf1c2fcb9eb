/** Stand-in of a model engine: it registers in the store and answers with streams of events. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { readBody } from './readBody.mjs';

const HEARTBEAT_MS = 1200;

/** Usual time between two events. Unit: ms. */
const EVENT_MS = 20;

/**
 * Returns the data of an event, which depends only on the request and the number of the event.
 *
 * @param {string} id - id of the request
 * @param {number} number - number of the event
 * @param {number} [bytes] - smallest size of the data. Unit: bytes
 * @returns {string} data
 */
export const dataOf = (id, number, bytes = 0) => `${id}/${number}`.padEnd(bytes, '.');

/**
 * @typedef {object} EngineOptions
 * @property {string} id - its id
 * @property {import('./Store.mjs').Store} store - the platform's store
 * @property {import('./Record.mjs').Record} record - record of the case
 * @property {string} [service] - its service
 * @property {string} [zone] - its zone
 * @property {string} [version] - version of its software
 * @property {number} [events] - number of events in an answer
 * @property {number} [eventBytes] - size of the data of an event. Unit: bytes
 * @property {number} [eventMs] - time between two writes of events. Unit: ms
 * @property {boolean} [isUnframed] - whether answers have neither a length nor chunks, and end with their connections
 * @property {(id: string) => number | undefined} [breaksOffAfter] - number of the event after which it breaks off an answer
 * @property {number} [eventsPerWrite] - number of events that are written together
 */

/**
 * @typedef {object} Run
 * @property {string} id - id of the request
 * @property {number} at - time since the start of the record. Unit: s
 * @property {import('node:http').IncomingHttpHeaders} headers - headers of the request
 * @property {string} path - path of the request
 * @property {string} method - method of the request
 * @property {Buffer} body - body of the request
 */

export class Engine {
  /** @type {Run[]} */
  runs = [];

  /** @type {Map<string, number>} */
  finished = new Map();

  sequence = 0;

  state = 'ready';

  address = '';

  born = Date.now();

  server = createServer((message, response) => {
    this.serve(message, response).catch(() => response.destroy());
  });

  /** @type {NodeJS.Timeout | undefined} */
  timer = undefined;

  /** @param {EngineOptions} options - what it needs */
  constructor(options) {
    this.options = options;
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve(undefined));
    });
    const address = /** @type {import('node:net').AddressInfo} */ (this.server.address());
    this.address = `127.0.0.1:${address.port}`;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Leaves as planned: reports that it is draining, goes on for a while, and exits.
   *
   * @param {number} drainMs - how long it goes on. Unit: ms
   */
  async leave(drainMs) {
    const { id, store, record } = this.options;
    this.state = 'draining';
    this.register();
    record.add(`${id}: draining`);
    await sleep(drainMs);
    this.stop();
    store.drop('servers', id);
    record.add(`${id}: has left`);
  }

  register() {
    const { id, store, service = 'writer', zone = 'sala', version = 'v1' } = this.options;
    this.sequence += 1;
    store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version,
      slots: 8,
      state: this.state,
      cold_left_ms: 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /**
   * @param {import('node:http').IncomingMessage} message - a request
   * @param {import('node:http').ServerResponse} response - its answer
   */
  async serve(message, response) {
    const { id: name, record, events = 40 } = this.options;
    const { eventBytes = 0, eventMs = EVENT_MS, eventsPerWrite = 1 } = this.options;
    const { headers, method = 'GET', url: path = '/' } = message;
    const body = await readBody(message);
    const id = String(headers['x-request-id'] ?? '');
    if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== name) {
      response.writeHead(421, { 'x-request-id': id, 'content-length': 0 }).end();
      return;
    }
    const after = Number(headers['last-event-id'] ?? 0);
    this.runs.push({ id, at: record.now, headers, path, method, body });
    record.add(`${name}: runs ${id} after event ${after}`);
    const end = Math.min(events, this.options.breaksOffAfter?.(id) ?? events);
    this.writeHead(response, {
      'x-request-id': id,
      'x-server-stamp': `${name}.${this.runs.length}`,
      'content-type': 'text/event-stream',
      'x-weight-versions': '1',
    });
    for (let number = after + 1; number <= end && !response.destroyed;) {
      const last = Math.min(end, number + eventsPerWrite - 1);
      let text = '';
      for (; number <= last; number += 1)
        text += `id: ${number}\ndata: ${dataOf(id, number, eventBytes)}\n\n`;
      await sleep(eventMs);
      this.write(response, text);
    }
    if (response.destroyed || response.socket?.destroyed) return;
    if (end < events) record.add(`${name}: breaks ${id} off after event ${end}, closing regularly`);
    else {
      record.add(`${name}: has finished ${id}`);
      this.finished.set(id, record.now);
    }
    if (this.options.isUnframed) response.socket?.end();
    else response.end();
  }

  /**
   * @param {import('node:http').ServerResponse} response - an answer
   * @param {Record<string, string>} headers - its headers
   */
  writeHead(response, headers) {
    if (this.options.isUnframed) {
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
      response.socket?.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
      return;
    }
    response.writeHead(200, headers);
    response.flushHeaders();
  }

  /**
   * @param {import('node:http').ServerResponse} response - an answer
   * @param {string} text - a part of its body
   */
  write(response, text) {
    if (this.options.isUnframed) response.socket?.write(text);
    else response.write(text);
  }
}
