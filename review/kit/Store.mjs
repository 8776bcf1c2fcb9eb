/** Stand-in of the platform's store, as PROTOCOL.md describes it: rows, changes, and objects. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { readBody } from './readBody.mjs';

/** Time of a call. Unit: ms. */
const CALL_MS = 4;

/** Time of a call about an object. Unit: ms. */
const OBJECT_CALL_MS = 25;

/** Total size of objects from which on writes of objects are refused. Unit: bytes. */
const MAX_OBJECT_BYTES = 400_000_000;

/** Largest number of rows in a page. */
const PAGE_ROWS = 500;

/**
 * @typedef {object} Row
 * @property {string} table - table
 * @property {string} part - part
 * @property {string} key - key
 * @property {string} [value] - content in base64
 * @property {number} ver - version
 * @property {boolean} [removed] - whether the row was removed
 */

/** @param {Row} row - a row */
const idOf = ({ table, part, key }) => JSON.stringify([table, part, key]);

export class Store {
  /** @type {Map<string, Row>} */
  rows = new Map();

  /** Changes of each table, oldest first.
   *
   * @type {Map<string, Row[]>}
   */
  changes = new Map();

  /** @type {Set<() => void>} */
  waiting = new Set();

  /** @type {Map<string, Buffer>} */
  objects = new Map();

  version = 1;

  /** Total size of the objects. Unit: bytes. */
  objectBytes = 0;

  /** Number of objects that were refused, as the store is full. */
  refusedObjects = 0;

  server = createServer((message, response) => {
    this.serve(message, response).catch(() => response.destroy());
  });

  /** @returns {Promise<string>} its address */
  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve(undefined));
    });
    const address = /** @type {import('node:net').AddressInfo} */ (this.server.address());
    return `127.0.0.1:${address.port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /**
   * Writes a row for the operator or an engine.
   *
   * @param {string} table - table
   * @param {string} key - key
   * @param {unknown} content - content of the row
   */
  put(table, key, content) {
    const value = Buffer.from(JSON.stringify(content)).toString('base64');
    this.apply([{ table, part: '', key, value, ver: 0 }], []);
  }

  /**
   * Removes a row for the platform.
   *
   * @param {string} table - table
   * @param {string} key - key
   */
  drop(table, key) {
    this.apply([], [{ table, part: '', key, ver: 0 }]);
  }

  /**
   * Reads the rows of a table.
   *
   * @param {string} table - table
   * @returns {{ key: string, content: any }[]} keys and contents
   */
  read(table) {
    return [...this.rows.values()]
      .filter((row) => row.table === table)
      .map(({ key, value = '' }) => ({
        key,
        content: JSON.parse(Buffer.from(value, 'base64').toString()),
      }));
  }

  /**
   * @param {Row[]} written - rows to write
   * @param {Row[]} removed - rows to remove
   */
  apply(written, removed) {
    this.version += 1;
    const ver = this.version;
    written.forEach((row) => {
      this.rows.set(idOf(row), { ...row, ver });
      this.recordChange({ ...row, ver });
    });
    removed.forEach(({ table, part, key }) => {
      if (!this.rows.delete(idOf({ table, part, key, ver }))) return;
      this.recordChange({ table, part, key, ver, removed: true });
    });
    [...this.waiting].forEach((wake) => wake());
  }

  /** @param {Row} change - a change */
  recordChange(change) {
    const changes = this.changes.get(change.table);
    if (changes) changes.push(change);
    else this.changes.set(change.table, [change]);
  }

  /**
   * @param {import('node:http').ServerResponse} response - a response
   * @param {number} status - its status
   * @param {object} content - its content
   */
  send(response, status, content) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ver: this.version, now_ms: performance.now(), ...content }));
  }

  /**
   * @param {import('node:http').IncomingMessage} message - a call
   * @param {import('node:http').ServerResponse} response - its response
   */
  async serve(message, response) {
    const url = new URL(message.url ?? '/', 'http://store');
    const body = await readBody(message);
    const [, , call, name = ''] = url.pathname.split('/');
    await sleep(call?.startsWith('blob') ? OBJECT_CALL_MS : CALL_MS);
    const query = url.searchParams;
    if (call === 'rows-tx') this.commit(JSON.parse(body.toString()), response);
    else if (call === 'rows-get') this.list(query, response);
    else if (call === 'rows-feed') await this.follow(query, response);
    else if (call === 'rows-parts') this.listParts(query, response);
    else if (call === 'blob-put') {
      response.writeHead(this.putObject(name, body), { 'content-length': 0 }).end();
    } else if (call === 'blob-get') {
      const object = this.objects.get(name);
      response.writeHead(object ? 200 : 404, { 'content-length': object?.length ?? 0 }).end(object);
    } else if (call === 'blob-drop') {
      this.objectBytes -= this.objects.get(name)?.length ?? 0;
      this.objects.delete(name);
      response.writeHead(200, { 'content-length': 0 }).end();
    } else response.writeHead(404, { 'content-length': 0 }).end();
  }

  /**
   * @param {{ expected_rev?: Row[], set_keys?: Row[], remove?: Row[] }} transaction - a transaction
   * @param {import('node:http').ServerResponse} response - its response
   */
  commit({ expected_rev: expected = [], set_keys: written = [], remove = [] }, response) {
    const conflicts = expected.some((row) => (this.rows.get(idOf(row))?.ver ?? 0) !== row.ver);
    if (conflicts) {
      this.send(response, 412, { rows: expected.flatMap((row) => this.rows.get(idOf(row)) ?? []) });
      return;
    }
    this.apply(written, remove);
    this.send(response, 200, {});
  }

  /**
   * @param {string} name - name of an object
   * @param {Buffer} content - its content
   * @returns {number} status of the call
   */
  putObject(name, content) {
    const before = this.objects.get(name)?.length ?? 0;
    if (this.objectBytes >= MAX_OBJECT_BYTES) {
      this.refusedObjects += 1;
      return 507;
    }
    this.objectBytes += content.length - before;
    this.objects.set(name, content);
    return 200;
  }

  /**
   * @param {URLSearchParams} query - query of a call
   * @param {import('node:http').ServerResponse} response - its response
   */
  list(query, response) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const rows = [...this.rows.values()]
      .filter(({ table, part }) => table === query.get('table') && part === query.get('part'))
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    this.send(response, 200, {
      rows: rows.slice(0, PAGE_ROWS),
      more_pages: rows.length > PAGE_ROWS,
    });
  }

  /**
   * @param {URLSearchParams} query - query of a call
   * @param {import('node:http').ServerResponse} response - its response
   */
  listParts(query, response) {
    const rows = [...this.rows.values()].filter(({ table }) => table === query.get('table'));
    this.send(response, 200, {
      parts: [...new Set(rows.map(({ part }) => part))].sort(),
      more_pages: false,
    });
  }

  /**
   * @param {URLSearchParams} query - query of a call
   * @param {import('node:http').ServerResponse} response - its response
   */
  async follow(query, response) {
    const after = Number(query.get('after'));
    const table = query.get('table') ?? '';
    const find = () => {
      const changes = this.changes.get(table) ?? [];
      return changes.slice(changes.findLastIndex(({ ver }) => ver <= after) + 1);
    };
    const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0);
    let found = find();
    while (found.length === 0 && performance.now() < endsAt && !response.destroyed) {
      await new Promise((resolve) => {
        const wake = () => {
          this.waiting.delete(wake);
          resolve(undefined);
        };
        this.waiting.add(wake);
        setTimeout(wake, Math.max(0, endsAt - performance.now()));
      });
      found = find();
    }
    this.send(response, 200, { rows: found });
  }
}
