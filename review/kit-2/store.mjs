/** Stand-in of the platform's store: rows, transactions, long polls and objects, as PROTOCOL.md describes them. */
import { createServer } from 'node:http';

const ROW_BYTES = 65_536;
const MAX_KEY_BYTES = 200;
const MAX_ENTRIES = 100;
const MAX_CALL_BYTES = 1_048_576;
const PAGE_ROWS = 500;
const PAGE_BYTES = 1_000_000;
const BLOB_BYTES = 8_388_608;
const TOTAL_BLOB_BYTES = 400_000_000;

const idOf = ({ table, part = '', key }) => JSON.stringify([table, part, key]);

const readBody = async (message) => {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
};

/**
 * The store. A case may set `intercept`, which is called before each call: a promise delays the call, and `false` leaves it
 * without a response; and `onCommit`, which is called after each transaction.
 */
export class Store {
  rows = new Map();

  changes = [];

  blobs = new Map();

  blobBytes = 0;

  ver = 1;

  waiting = new Set();

  server = createServer((message, response) => {
    void this.respond(message, response);
  });

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row for the operator or an engine. */
  write(table, key, content) {
    const value = Buffer.from(JSON.stringify(content)).toString('base64');
    this.apply([{ table, part: '', key, value }], []);
  }

  /** Removes a row of the operator or of an engine. */
  drop(table, key) {
    this.apply([], [{ table, part: '', key }]);
  }

  /** Lists the rows of a table, with their decoded content. */
  list(table) {
    return [...this.rows.values()]
      .filter((row) => row.table === table)
      .map((row) => ({ ...row, content: JSON.parse(Buffer.from(row.value, 'base64').toString()) }));
  }

  apply(written, removed) {
    this.ver += 1;
    const { ver } = this;
    written.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, ver };
      this.rows.set(idOf(row), row);
      this.changes.push(row);
    });
    removed.forEach(({ table, part = '', key }) => {
      if (!this.rows.delete(idOf({ table, part, key }))) return;
      this.changes.push({ table, part, key, ver, removed: true });
    });
    [...this.waiting].forEach((wake) => wake());
  }

  async respond(message, response) {
    const url = new URL(message.url, 'http://store');
    const body = await readBody(message).catch(() => undefined);
    if (body === undefined) return;
    const [, , call, name = ''] = url.pathname.split('/');
    const verdict = await this.intercept?.({ call, query: url.searchParams, body, response });
    if (verdict === false || response.destroyed) return;
    const send = (status, content = {}) => {
      const text = JSON.stringify({ ...content, ver: this.ver, now_ms: performance.now() });
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    const handlers = {
      'rows-tx': () => this.commit(body, send),
      'rows-get': () => this.read(url.searchParams, send),
      'rows-parts': () => this.listParts(url.searchParams, send),
      'rows-feed': () => this.feed(url.searchParams, send, response),
      'blob-put': () => this.putBlob(decodeURIComponent(name), message, body, send),
      'blob-get': () => {
        const blob = this.blobs.get(decodeURIComponent(name));
        response.writeHead(blob ? 200 : 404, { 'content-length': blob?.length ?? 0 });
        response.end(blob);
      },
      'blob-drop': () => {
        const key = decodeURIComponent(name);
        this.blobBytes -= this.blobs.get(key)?.length ?? 0;
        this.blobs.delete(key);
        send(200);
      },
    };
    const handler = handlers[call];
    if (handler) await handler();
    else response.writeHead(404).end();
  }

  commit(body, send) {
    if (body.length > MAX_CALL_BYTES) {
      send(413);
      return;
    }
    const { expected_rev: expected = [], set_keys: written = [], remove = [] } = JSON.parse(body);
    const entries = [...expected, ...written, ...remove];
    const isValid =
      entries.length <= MAX_ENTRIES &&
      new Set(entries.map(({ part = '' }) => part)).size <= 1 &&
      entries.every(({ key }) => Buffer.byteLength(key) <= MAX_KEY_BYTES) &&
      written.every(({ value }) => Buffer.byteLength(value) <= ROW_BYTES);
    if (!isValid) {
      send(400);
      return;
    }
    const conflicts = expected.some((row) => (this.rows.get(idOf(row))?.ver ?? 0) !== row.ver);
    if (conflicts) {
      send(412, { rows: expected.flatMap((row) => this.rows.get(idOf(row)) ?? []) });
      return;
    }
    this.apply(written, remove);
    this.onCommit?.({ written, remove, ver: this.ver });
    send(200);
  }

  read(query, send) {
    const [table, part, from, to] = ['table', 'part', 'from', 'to'].map((name) => query.get(name));
    const rows = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === (part ?? ''))
      .filter(({ key }) => key >= (from ?? '') && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    let bytes = 0;
    const page = rows.slice(0, PAGE_ROWS).filter((row, index) => {
      bytes += row.value.length + row.key.length + 100;
      return index === 0 || bytes <= PAGE_BYTES;
    });
    send(200, { rows: page, more_pages: page.length < rows.length });
  }

  listParts(query, send) {
    const rows = [...this.rows.values()].filter(({ table }) => table === query.get('table'));
    send(200, { parts: [...new Set(rows.map(({ part }) => part))].sort(), more_pages: false });
  }

  async feed(query, send, response) {
    const after = Number(query.get('after'));
    const find = () =>
      this.changes.filter(({ table, ver }) => ver > after && table === query.get('table'));
    if (find().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (find().length > 0) resolve(wake);
        };
        this.waiting.add(wake);
        setTimeout(resolve, Number(query.get('wait_ms')), wake);
        response.once('close', () => resolve(wake));
      }).then((wake) => this.waiting.delete(wake));
    }
    if (!response.destroyed) send(200, { rows: find() });
  }

  putBlob(name, message, body, send) {
    if (message.headers['if-none-match'] === '*' && this.blobs.has(name)) send(412);
    else if (body.length > BLOB_BYTES) send(413);
    else if (this.blobBytes + body.length > TOTAL_BLOB_BYTES) send(507);
    else {
      this.blobBytes += body.length - (this.blobs.get(name)?.length ?? 0);
      this.blobs.set(name, body);
      send(200);
    }
  }
}
