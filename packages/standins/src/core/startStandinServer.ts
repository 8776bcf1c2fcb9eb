/** HTTP server shared by the platform stand-ins: injects faults and counts requests. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { faultUpdate, noFaults, type Faults, type RefusalMode } from './faults.js';

/** Address on which a stand-in listens. */
export interface StandinAddress {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
}

/** A running stand-in. */
export interface Standin {
  /** Base URL without a trailing slash. */
  readonly url: string;
  /** Closes the listener and every connection. */
  close(): Promise<void>;
}

/** A request whose body has been read. */
export interface StandinRequest {
  readonly method: string;
  /** Percent-encoded path without the query. */
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** A response of a stand-in. */
export interface StandinResponse {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
}

/** Protocol of the service that a stand-in imitates. */
export interface StandinProtocol {
  /**
   * Checks whether a request is a write. This decides how it is counted and which faults apply.
   *
   * @param request - the request
   * @returns whether the request is a write
   */
  isWrite(request: StandinRequest): boolean;

  /**
   * Called when a request has been received, before the delay of the fault `delayMs`.
   *
   * @param request - the request
   * @returns function to call after the request was handled or refused
   */
  onArrival?(request: StandinRequest): () => void;

  /**
   * Handles a request.
   *
   * @param request - the request
   * @param faults - active faults
   * @returns the response
   */
  handle(request: StandinRequest, faults: Faults): StandinResponse;

  /**
   * Creates the response for the fault `refuse`.
   *
   * @param mode - how to refuse; a mode that the service does not have means throttling
   * @returns the response
   */
  refuse(mode: RefusalMode): StandinResponse;
}

/**
 * Longer than the idle timeout of the clients, so that no client sends a request on a connection
 * that the server is closing. Unit: ms.
 */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

const CONTROL_PREFIX = '/_standin/';

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/**
 * Creates a JSON response.
 *
 * @param status - HTTP status
 * @param value - value to serialize as the body
 * @returns the response
 */
export const createJsonResponse = (status: number, value: unknown): StandinResponse => ({
  status,
  headers: { 'content-type': 'application/json' },
  body: JSON.stringify(value),
});

const sendResponse = (
  outgoing: ServerResponse,
  response: StandinResponse,
  withBody: boolean,
): void => {
  const body = Buffer.from(response.body ?? '');
  outgoing.writeHead(response.status, { 'content-length': body.length, ...response.headers });
  outgoing.end(withBody ? body : undefined);
};

/** Sends the complete headers and half of the body, then destroys the connection. */
const sendTruncatedResponse = (outgoing: ServerResponse, response: StandinResponse): void => {
  const body = Buffer.from(response.body ?? '');
  outgoing.writeHead(response.status, { 'content-length': body.length, ...response.headers });
  outgoing.write(body.subarray(0, body.length / 2), () => outgoing.destroy());
};

/**
 * Starts a stand-in.
 *
 * @param address - address to listen on
 * @param protocol - protocol of the imitated service
 * @returns the running stand-in
 */
export const startStandinServer = async (
  address: StandinAddress,
  protocol: StandinProtocol,
): Promise<Standin> => {
  let faults: Faults = noFaults;
  const stats = { reads: 0, writes: 0 };
  const closing = new AbortController();

  const handleControl = (request: StandinRequest): StandinResponse => {
    if (request.method === 'GET' && request.path === `${CONTROL_PREFIX}health`) {
      return createJsonResponse(200, {});
    }
    if (request.method === 'GET' && request.path === `${CONTROL_PREFIX}stats`) {
      return createJsonResponse(200, stats);
    }
    if (request.method !== 'POST' || request.path !== `${CONTROL_PREFIX}faults`) {
      return createJsonResponse(404, { message: 'unknown control path' });
    }
    const update = faultUpdate.safeParse(JSON.parse(request.body.toString()));
    if (!update.success) return createJsonResponse(400, { message: update.error.message });
    faults = { ...faults, ...(update.data as Partial<Faults>) };
    return createJsonResponse(200, faults);
  };

  const handleRequest = (request: StandinRequest, outgoing: ServerResponse): void => {
    const isWrite = protocol.isWrite(request);
    stats[isWrite ? 'writes' : 'reads'] += 1;
    const response = protocol.handle(request, faults);
    const isSuccess = response.status < 300;
    if (isWrite && isSuccess && faults.loseAnswers > 0) {
      faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
      outgoing.destroy();
      return;
    }
    if (!isWrite && isSuccess && faults.cutAnswers > 0) {
      faults = { ...faults, cutAnswers: faults.cutAnswers - 1 };
      sendTruncatedResponse(outgoing, response);
      return;
    }
    sendResponse(outgoing, response, request.method !== 'HEAD');
  };

  const serve = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const body = await readBody(incoming);
    const [path = '/'] = (incoming.url ?? '/').split('?');
    const request = { method: incoming.method ?? 'GET', path, headers: incoming.headers, body };
    if (path.startsWith(CONTROL_PREFIX)) {
      sendResponse(outgoing, handleControl(request), true);
      return;
    }
    if (faults.down) {
      outgoing.destroy();
      return;
    }
    const onCompletion = protocol.onArrival?.(request);
    try {
      if (faults.delayMs > 0) await sleep(faults.delayMs, undefined, { signal: closing.signal });
      if (faults.refuse === false) handleRequest(request, outgoing);
      else sendResponse(outgoing, protocol.refuse(faults.refuse), true);
    } finally {
      onCompletion?.();
    }
  };

  const server = createServer((incoming, outgoing) => {
    // A caller that disconnects while sending, or a close during a delay, affects this request only.
    serve(incoming, outgoing).catch(() => outgoing.destroy());
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
