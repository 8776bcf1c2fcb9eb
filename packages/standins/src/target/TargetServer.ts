/** HTTP server shared by the target stand-ins: faults, request log, crash and restart. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { LoggedRequest, type RequestOutcome } from './LoggedRequest.js';
import { RequestLog } from './RequestLog.js';
import { targetFaults, type TargetFaults } from './targetFaults.js';

/** A running target stand-in. */
export interface TargetStandin {
  readonly url: string;
  close(): Promise<void>;
}

/** Address on which a stand-in listens. */
export interface ListenOptions {
  readonly host?: string;
  /** 0 selects a free port. */
  readonly port?: number;
}

/** A request with its response and its log entry. */
export interface RequestContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly body: string;
  readonly logEntry: LoggedRequest;
}

/** Handles a request. */
export type RequestHandler = (context: RequestContext) => void | Promise<void>;

const FAULTS_PATH = '/_standin/faults';
const HEALTH_PATH = '/_standin/health';
const REQUESTS_PATH = '/_standin/requests';

const readBody = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

/** HTTP server of a target stand-in. */
export class TargetServer {
  readonly log = new RequestLog();

  faults: TargetFaults = targetFaults.parse({});

  private readonly sockets = new Set<Socket>();

  private server: Server | undefined;

  private port: number;

  private closed = false;

  private readonly host: string;

  constructor(
    options: ListenOptions,
    private readonly handle: RequestHandler,
  ) {
    this.host = options.host ?? '127.0.0.1';
    this.port = options.port ?? 0;
  }

  get url(): string {
    return `http://${this.host}:${this.port}`;
  }

  /** Starts listening; after a crash, on the same port as before. */
  async listen(): Promise<void> {
    const server = createServer((request, response) => {
      // A connection failure while the body is read affects this request only.
      void this.serve(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, resolve);
    });
    this.port = (server.address() as AddressInfo).port;
    this.server = server;
  }

  /**
   * Destroys all connections and stops listening until the restart.
   *
   * @param restartMs - time until the restart. Unit: ms
   */
  async crash(restartMs: number): Promise<void> {
    await this.stopListening();
    await sleep(restartMs, undefined, { ref: false });
    if (!this.closed) await this.listen();
  }

  async close(): Promise<void> {
    this.closed = true;
    await this.stopListening();
  }

  /**
   * Checks whether a fault that is set for a limited number of responses occurs now, and counts it down.
   *
   * @param name - name of the fault
   * @returns whether the fault occurs now
   */
  consumeFault(name: 'loseAnswers' | 'crossAnswers'): boolean {
    if (this.faults[name] === 0) return false;
    this.faults = { ...this.faults, [name]: this.faults[name] - 1 };
    return true;
  }

  /**
   * Creates the id header of a response. It carries the id of the request, or that of another one
   * under the fault `crossAnswers`.
   *
   * @param context - the request
   * @returns response headers; empty if the request has no id
   */
  createIdHeaders(context: RequestContext): Record<string, string> {
    const id = context.request.headers['x-request-id'];
    if (typeof id !== 'string') return {};
    return { 'x-request-id': this.consumeFault('crossAnswers') ? this.log.findOtherId(id) : id };
  }

  /**
   * Sends a complete response, or destroys the connection under the fault `loseAnswers`.
   *
   * @param context - the request
   * @param status - HTTP status
   * @param value - value to serialize as the JSON body
   * @param outcome - outcome to log, unless one is logged already or the response is lost
   */
  respond(context: RequestContext, status: number, value: unknown, outcome: RequestOutcome = 'completed'): void {
    const { logEntry, response } = context;
    if (logEntry.outcome === 'running') logEntry.setOutcome(outcome);
    const isCompletedRun = context.method !== 'GET' && outcome === 'completed';
    if (isCompletedRun && this.consumeFault('loseAnswers')) {
      logEntry.setOutcome('lost');
      response.destroy();
      return;
    }
    Object.entries(this.createIdHeaders(context)).forEach(([name, text]) => response.setHeader(name, text));
    sendJson(response, status, value);
  }

  private async stopListening(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (!server) return;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    const method = request.method ?? 'GET';
    const fullPath = request.url ?? '/';
    const path = fullPath.split('?')[0] ?? '/';
    if (path.startsWith('/_standin/')) {
      this.serveControl(`${method} ${path}`, body, response);
      return;
    }
    const logEntry = new LoggedRequest(method, fullPath, request.headers, body);
    this.log.add(logEntry);
    const context = { request, response, method, path, body, logEntry };
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    if (this.faults.down) {
      logEntry.setOutcome('dropped');
      response.destroy();
    } else if (this.faults.refuse && method !== 'GET') {
      this.respond(context, 503, { error: { message: 'refused by fault' } }, 'refused');
    } else {
      await this.handle(context);
    }
  }

  private serveControl(operation: string, body: string, response: ServerResponse): void {
    const operations: Record<string, () => void> = {
      [`GET ${HEALTH_PATH}`]: () => sendJson(response, 200, {}),
      [`GET ${REQUESTS_PATH}`]: () => sendJson(response, 200, this.log.all()),
      [`GET ${FAULTS_PATH}`]: () => sendJson(response, 200, this.faults),
      [`POST ${FAULTS_PATH}`]: () => {
        const parsed = targetFaults.safeParse(JSON.parse(body));
        if (parsed.success) this.faults = parsed.data;
        sendJson(response, parsed.success ? 200 : 400, parsed.data ?? parsed.error?.issues);
      },
    };
    const handler = operations[operation] ?? (() => sendJson(response, 404, {}));
    handler();
  }
}
