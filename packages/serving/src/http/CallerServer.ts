/** HTTP server for callers, with a graceful stop. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { CallerLimits } from '../configuration/ServingConfiguration.js';
import { rejectConnection, statusByError } from './rejectConnection.js';
import { RESET_DELAY_MS, resetConnection } from './resetConnection.js';

/** How long a stopping host still accepts connections; load balancers need some seconds to notice. Unit: ms. */
const DRAIN_NOTICE_MS = 3000;

/** Interval at which a stopping host checks for running requests. Unit: ms. */
const DRAIN_CHECK_MS = 20;

/** Limits until the configuration is loaded. */
const INITIAL_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** Handles one request of a caller; never rejects. */
export type CallerHandler = (message: IncomingMessage, response: ServerResponse) => Promise<void>;

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

  private stopping = false;

  /** Responses in progress. */
  private readonly responses = new Set<ServerResponse>();

  constructor(handler: CallerHandler) {
    this.server = createServer(
      { maxHeaderSize: INITIAL_LIMITS.headerBytes },
      (message, response) => {
        this.responses.add(response);
        if (this.stopping) response.setHeader('connection', 'close');
        response.once('close', () => {
          this.responses.delete(response);
        });
        void handler(message, response);
      },
    );
    // Without these listeners, Node.js closes the connection, even within the response to an earlier request of it.
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      rejectConnection(socket, statusByError(error), this.responses),
    );
    this.server.on('connect', (_, socket) =>
      rejectConnection(socket, '501 Not Implemented', this.responses),
    );
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
   * Accepts requests until load balancers have noticed the stop, then waits for the running ones to end. Responses that
   * are unfinished at the deadline are aborted.
   *
   * @param deadline - monotonic time at which waiting ends. Unit: ms
   */
  async stop(deadline: number): Promise<void> {
    this.stopping = true;
    await sleepUntil(Math.min(performance.now() + DRAIN_NOTICE_MS, deadline));
    this.server.close();
    this.server.closeIdleConnections();
    while (this.responses.size > 0 && performance.now() < deadline)
      await systemClock.sleep(DRAIN_CHECK_MS);
    this.server.closeIdleConnections();
    await this.resetUnfinished();
  }

  /**
   * Resets the connections of unfinished responses that are not sent in chunks. The end of the process would close these
   * connections regularly, and responses without a length would look complete.
   */
  private async resetUnfinished(): Promise<void> {
    const sockets = [...this.responses]
      .filter(({ chunkedEncoding }) => !chunkedEncoding)
      .flatMap(({ socket }) => socket ?? []);
    if (sockets.length === 0) return;
    sockets.forEach((socket) => socket.cork());
    await systemClock.sleep(RESET_DELAY_MS);
    sockets.forEach(resetConnection);
  }
}
