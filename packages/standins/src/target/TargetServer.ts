/** HTTP server of a stand-in of a target: faults, request log, crash and restart. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { LoggedRequest, type RequestOutcome } from './LoggedRequest.js';
import { RequestLog } from './RequestLog.js';
import { targetFaults, type TargetFaults } from './targetFaults.js';

/** A running stand-in. */
export interface TargetStandin {
  readonly url: string;
  close(): Promise<void>;
}

/** Where a stand-in listens. */
export interface ListenOptions {
  readonly host?: string;
  /** 0 takes a free port. */
  readonly port?: number;
}

/** One request with its log entry. */
export interface RequestContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly body: string;
  readonly logged: LoggedRequest;
}

/** Runs one request. */
export type RequestHandler = (call: RequestContext) => void | Promise<void>;

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

/** HTTP server of a stand-in of a target. */
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

  /** Listens; after a crash, on the same port again. */
  async listen(): Promise<void> {
    const server = createServer((request, response) => {
      // A connection that breaks while a request is read is the business of its caller alone.
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
   * Destroys all connections and refuses new ones for a while.
   *
   * @param restartMs - time until it listens again. Unit: ms
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
   * Uses up one of the next occurrences of a fault.
   *
   * @param name - fault that is counted
   * @returns whether it is to occur now
   */
  consumeFault(name: 'loseAnswers' | 'crossAnswers'): boolean {
    if (this.faults[name] === 0) return false;
    this.faults = { ...this.faults, [name]: this.faults[name] - 1 };
    return true;
  }

  /**
   * Gives the id headers of an answer: that of its request, or of another one by fault.
   *
   * @param call - the answered request
   * @returns headers of the answer
   */
  createIdHeaders(call: RequestContext): Record<string, string> {
    const id = call.request.headers['x-request-id'];
    if (typeof id !== 'string') return {};
    return { 'x-request-id': this.consumeFault('crossAnswers') ? this.log.findOtherId(id) : id };
  }

  /**
   * Sends a whole answer, unless a fault takes it away.
   *
   * @param call - the answered request
   * @param status - HTTP status
   * @param value - body, sent as JSON
   * @param outcome - what to log when the answer goes out
   */
  respond(call: RequestContext, status: number, value: unknown, outcome: RequestOutcome = 'completed'): void {
    const { logged, response } = call;
    if (logged.outcome === 'running') logged.setOutcome(outcome);
    const isRun = call.method !== 'GET' && outcome === 'completed';
    if (isRun && this.consumeFault('loseAnswers')) {
      logged.setOutcome('lost');
      response.destroy();
      return;
    }
    Object.entries(this.createIdHeaders(call)).forEach(([name, text]) => response.setHeader(name, text));
    sendJson(response, status, value);
  }

  private async stopListening(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    if (!server) return;
    const ended = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    await ended;
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
    const logged = new LoggedRequest(method, fullPath, request.headers, body);
    this.log.add(logged);
    const call = { request, response, method, path, body, logged };
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    if (this.faults.down) {
      logged.setOutcome('dropped');
      response.destroy();
    } else if (this.faults.refuse && method !== 'GET') {
      this.respond(call, 503, { error: { message: 'refused by fault' } }, 'refused');
    } else {
      await this.handle(call);
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
    const operate = operations[operation] ?? (() => sendJson(response, 404, {}));
    operate();
  }
}
