/** HTTP server of the platform stand-ins: faults and counts around a protocol. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { faultUpdate, noFaults, type Faults, type RefusalMode } from './faults.js';

/** Where a stand-in listens. */
export interface StandinAddress {
  readonly host: string;
  /** Zero for a free port. */
  readonly port: number;
}

/** A running stand-in. */
export interface Standin {
  /** Base URL without a trailing slash. */
  readonly url: string;
  /** Closes the listener and every connection. */
  close(): Promise<void>;
}

/** A request with its body. */
export interface StandinRequest {
  readonly method: string;
  /** Path without the query, still percent-encoded. */
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** An answer of a stand-in. */
export interface StandinResponse {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
}

/** What a stand-in does besides faults and counts. */
export interface StandinProtocol {
  /**
   * Tells whether a request is a write.
   *
   * @param request - the request
   * @returns whether it is counted, and loses its answer, as a write
   */
  isWrite(request: StandinRequest): boolean;

  /**
   * Called when a request has arrived, before any delay.
   *
   * @param request - the request
   * @returns called when the request was handled or refused
   */
  onArrival?(request: StandinRequest): () => void;

  /**
   * Handles a request.
   *
   * @param request - the request
   * @param faults - faults in force
   * @returns the answer
   */
  handle(request: StandinRequest, faults: Faults): StandinResponse;

  /**
   * Renders the refusal of the fault `refuse`.
   *
   * @param wanted - how to refuse; what the service does not have counts as throttling
   * @returns the answer
   */
  refuse(wanted: RefusalMode): StandinResponse;
}

/** Longer than clients idle, so that none meets a connection that is just being closed. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

const CONTROL_PREFIX = '/_standin/';

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
};

/**
 * Builds a JSON answer.
 *
 * @param status - HTTP status
 * @param value - body
 * @returns the answer
 */
export const createJsonResponse = (status: number, value: unknown): StandinResponse => ({
  status,
  headers: { 'content-type': 'application/json' },
  body: JSON.stringify(value),
});

const sendResponse = (
  response: ServerResponse,
  reply: StandinResponse,
  withBody: boolean,
): void => {
  const body = Buffer.from(reply.body ?? '');
  response.writeHead(reply.status, { 'content-length': body.length, ...reply.headers });
  response.end(withBody ? body : undefined);
};

/** Sends half of the body that the headers announce, then destroys the connection. */
const sendTruncatedResponse = (response: ServerResponse, reply: StandinResponse): void => {
  const body = Buffer.from(reply.body ?? '');
  response.writeHead(reply.status, { 'content-length': body.length, ...reply.headers });
  response.write(body.subarray(0, body.length / 2), () => response.destroy());
};

/**
 * Starts a stand-in.
 *
 * @param address - where to listen
 * @param protocol - the service that it stands in for
 * @returns the running stand-in
 */
export const startStandinServer = async (
  address: StandinAddress,
  protocol: StandinProtocol,
): Promise<Standin> => {
  let faults: Faults = noFaults;
  const stats = { reads: 0, writes: 0 };
  const closing = new AbortController();

  const control = (request: StandinRequest): StandinResponse => {
    if (request.method === 'GET' && request.path === `${CONTROL_PREFIX}health`) {
      return createJsonResponse(200, {});
    }
    if (request.method === 'GET' && request.path === `${CONTROL_PREFIX}stats`) {
      return createJsonResponse(200, stats);
    }
    if (request.method !== 'POST' || request.path !== `${CONTROL_PREFIX}faults`) {
      return createJsonResponse(404, { message: 'no such control' });
    }
    const order = faultUpdate.safeParse(JSON.parse(request.body.toString()));
    if (!order.success) return createJsonResponse(400, { message: order.error.message });
    faults = { ...faults, ...(order.data as Partial<Faults>) };
    return createJsonResponse(200, faults);
  };

  const run = (request: StandinRequest, response: ServerResponse): void => {
    const isWrite = protocol.isWrite(request);
    stats[isWrite ? 'writes' : 'reads'] += 1;
    const reply = protocol.handle(request, faults);
    const tookEffect = reply.status < 300;
    if (isWrite && tookEffect && faults.loseAnswers > 0) {
      faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
      response.destroy();
      return;
    }
    if (!isWrite && tookEffect && faults.cutAnswers > 0) {
      faults = { ...faults, cutAnswers: faults.cutAnswers - 1 };
      sendTruncatedResponse(response, reply);
      return;
    }
    sendResponse(response, reply, request.method !== 'HEAD');
  };

  const serve = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(incoming);
    const [path = '/'] = (incoming.url ?? '/').split('?');
    const request = { method: incoming.method ?? 'GET', path, headers: incoming.headers, body };
    if (path.startsWith(CONTROL_PREFIX)) {
      sendResponse(response, control(request), true);
      return;
    }
    if (faults.down) {
      response.destroy();
      return;
    }
    const depart = protocol.onArrival?.(request);
    try {
      if (faults.delayMs > 0) await sleep(faults.delayMs, undefined, { signal: closing.signal });
      if (faults.refuse === false) run(request, response);
      else sendResponse(response, protocol.refuse(faults.refuse), true);
    } finally {
      depart?.();
    }
  };

  const server = createServer((incoming, response) => {
    // A caller that leaves while it sends, or a close during a delay, ends this exchange only.
    serve(incoming, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${address.host}:${port}`,
    async close() {
      closing.abort();
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      server.closeAllConnections();
      await closed;
    },
  };
};
