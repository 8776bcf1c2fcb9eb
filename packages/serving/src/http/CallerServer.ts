/** HTTP server for callers, with a graceful stop. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { systemClock } from '@jacinthlug/control/time/Clock';
import { CallerConnection } from '@jacinthlug/control/callers/CallerConnection';
import {
  CallerConnections,
  type CallerConnectionsDependencies,
} from '@jacinthlug/control/callers/CallerConnections';
import { rejectionStatuses, type Rejection } from '@jacinthlug/control/callers/formatRejection';
import type { CallerLimits } from '../configuration/ServingConfiguration.js';
import { hasValidHead } from './hasValidHead.js';
import { findRejection, rejectConnection } from './rejectConnection.js';
import { RESET_DELAY_MS, resetConnection } from './resetConnection.js';
import type { Shutdown } from './Shutdown.js';

/**
 * How long a stopping host takes requests; load balancers need some seconds to notice. Signals and timers may be late, and
 * callers must not rely on requests later than 3 s after the signal. Unit: ms.
 */
const DRAIN_NOTICE_MS = 2800;

/** Maximum ratio of that time to the time of the stop; requests taken at its end need the rest. */
const MAX_NOTICE_RATIO = 0.5;

/** Interval at which a stopping host checks for running requests. Unit: ms. */
const DRAIN_CHECK_MS = 20;

/** Maximum time in which the final responses of a stop are sent. Unit: ms. */
const FLUSH_TIMEOUT_MS = 150;

/** Interval of the checks for late requests. Unit: ms. */
const TIMEOUT_CHECK_MS = 30_000;

/** Code of the parser's error when a caller disconnects within a request. */
const CALLER_GONE_WITHIN_REQUEST = 'HPE_INVALID_EOF_STATE';

/** Code of the error when a request isn't received in time. */
const LATE_REQUEST = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Limits until the configuration is loaded. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** Handles one request of a caller; never rejects. */
export type CallerHandler = (message: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Dependencies of {@link CallerServer}. */
export interface CallerServerDependencies extends CallerConnectionsDependencies {
  /** Stop of the host. */
  readonly shutdown: Shutdown;
}

/** Where to listen. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Closes an idle connection, unless a request has arrived: while the event loop is blocked, idle timeouts expire and
 * requests wait, and timers run first afterwards.
 */
const closeUnlessReadable = (socket: Socket): void => {
  const { bytesRead } = socket;
  // Runs after the event loop has read from all sockets.
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
};

const sleepUntil = (time: number): Promise<void> => systemClock.sleep(time - performance.now());

/** Accepts the requests of callers. */
export class CallerServer {
  private readonly server: Server;

  private readonly shutdown: Shutdown;

  private isStopping = false;

  /** Connections that are closed once their complete requests have responses. */
  private readonly rejected = new WeakSet<Duplex>();

  private readonly connections: CallerConnections;

  constructor(
    private readonly handler: CallerHandler,
    dependencies: CallerServerDependencies,
    timeoutCheckMs = TIMEOUT_CHECK_MS,
  ) {
    this.shutdown = dependencies.shutdown;
    this.connections = new CallerConnections(dependencies);
    this.server = createServer(
      // Node.js would respond to a request without a host itself, and have later ones run whose responses are not sent.
      {
        maxHeaderSize: INITIAL_LIMITS.headerBytes,
        requireHostHeader: false,
        connectionsCheckingInterval: timeoutCheckMs,
      },
      (message, response) => this.handleRequest(message, response),
    );
    this.server.on('connection', (socket) => this.addConnection(socket));
    // Without these listeners, Node.js closes the connection, even within the response to an earlier request of it.
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (error.code === CALLER_GONE_WITHIN_REQUEST) socket.destroy();
      // Node.js checks a connection without a request as if its first one had begun when it was opened.
      else if (error.code !== LATE_REQUEST || !this.connections.get(socket)?.isIdle)
        this.reject(socket, findRejection(error));
    });
    this.server.on('checkExpectation', (message, response) => {
      if (this.connections.get(message.socket)?.begin(message, response))
        response.writeHead(rejectionStatuses['unknown expectation']).end();
    });
    this.server.on('connect', (_, socket) => this.reject(socket, 'request to connect'));
    this.server.on('timeout', closeUnlessReadable);
    this.applyLimits(INITIAL_LIMITS);
  }

  /**
   * Applies the limits of a configuration.
   *
   * @param limits - limits on what callers send
   */
  applyLimits({ headerBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    // Applies to new connections.
    Object.assign(this.server, { maxHeaderSize: headerBytes });
    this.server.headersTimeout = headerTimeoutMs;
    // The body gets the idle timeout on top of the time for the headers; requests have their own deadlines.
    this.server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  /**
   * Starts listening.
   *
   * @param address - address to listen on
   */
  async listen({ host, port }: ListenAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: 1024 }, resolve);
    });
  }

  /**
   * Takes requests until load balancers have noticed the stop, then closes each connection once it is idle. At the
   * deadline, requests whose response has not started are ended, and responses that are unfinished are aborted.
   *
   * @param deadline - monotonic time at which waiting ends. Unit: ms
   */
  async stop(deadline: number): Promise<void> {
    const now = performance.now();
    this.shutdown.answersDueAt = deadline;
    this.isStopping = true;
    this.connections.list().forEach((connection) => connection.announceClose());
    await sleepUntil(Math.min(now + DRAIN_NOTICE_MS, now + (deadline - now) * MAX_NOTICE_RATIO));
    this.shutdown.endIntake();
    // The method of the HTTP server also closes connections whose last response is not sent completely.
    NetServer.prototype.close.call(this.server);
    // Requests that have arrived by now are read first.
    await yieldToEventLoop();
    this.connections.list().forEach((connection) => connection.closeIfIdle());
    while (this.connections.size > 0 && performance.now() < deadline)
      await systemClock.sleep(DRAIN_CHECK_MS);
    await this.endUnfinished();
  }

  private handleRequest(message: IncomingMessage, response: ServerResponse): void {
    if (!this.connections.get(message.socket)?.begin(message, response)) return;
    // A stopping host refuses what it still reads, so that callers try another host.
    if (hasValidHead(message) || this.shutdown.isIntakeOver) void this.handler(message, response);
    else response.writeHead(rejectionStatuses['invalid request']).end();
  }

  private reject(socket: Duplex, rejection: Rejection): void {
    if (this.rejected.has(socket)) return;
    this.rejected.add(socket);
    rejectConnection(socket, rejection, this.connections.get(socket)?.responses ?? new Set());
  }

  private addConnection(socket: Socket): void {
    const connection: CallerConnection = new CallerConnection(socket, this.server, () => {
      if (this.shutdown.isIntakeOver) connection.closeIfIdle();
    });
    if (this.isStopping) connection.announceClose();
    this.connections.add(socket, connection);
  }

  private async endUnfinished(): Promise<void> {
    const responses = this.connections.list().flatMap((connection) => [...connection.responses]);
    const unstarted = responses.filter(({ headersSent }) => !headersSent);
    this.shutdown.requireAnswers();
    this.connections.list().forEach((connection) => connection.refusePartialHead());
    await Promise.all([
      CallerServer.waitUntilSent(unstarted),
      CallerServer.resetUnframed(responses.filter((response) => !unstarted.includes(response))),
    ]);
  }

  private static async waitUntilSent(responses: ServerResponse[]): Promise<void> {
    const deadline = performance.now() + FLUSH_TIMEOUT_MS;
    while (responses.some(({ closed }) => !closed) && performance.now() < deadline)
      await systemClock.sleep(DRAIN_CHECK_MS);
  }

  /**
   * Resets the connections of unfinished responses that are not sent in chunks. The end of the process would close these
   * connections regularly, and responses without a length would look complete.
   */
  private static async resetUnframed(responses: ServerResponse[]): Promise<void> {
    const sockets = responses
      .filter(({ chunkedEncoding }) => !chunkedEncoding)
      .flatMap(({ socket }) => socket ?? []);
    if (sockets.length === 0) return;
    sockets.forEach((socket) => socket.cork());
    await systemClock.sleep(RESET_DELAY_MS);
    sockets.forEach(resetConnection);
  }
}
