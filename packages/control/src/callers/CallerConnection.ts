/** One connection of a caller, and the requests in progress on it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { formatRejection } from './formatRejection.js';

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;

/** Callers may send line breaks before a request, which are no part of it. */
const hasOnlyLineBreaks = (bytes: Buffer): boolean =>
  bytes.every((byte) => byte === CARRIAGE_RETURN || byte === LINE_FEED);

/** Current limit on the time for which connections are idle. Unit: ms. */
interface IdleLimit {
  readonly keepAliveTimeout: number;
}

/** Tracks the requests on one connection. */
export class CallerConnection {
  /** Responses in progress, in the order of their requests. */
  readonly responses = new Set<ServerResponse>();

  /** Monotonic time of the latest bytes from the caller, or of the start of the connection. Unit: ms. */
  receivedAt = performance.now();

  /** Whether a complete request has been received. */
  hasHadRequest = false;

  /** Whether a part of a request has been received since the last one was handled. */
  private hasUnhandledPart = false;

  private isClosing = false;

  constructor(
    private readonly socket: Socket,
    private readonly limits: IdleLimit,
    private readonly onIdle: () => void,
  ) {
    // Node.js limits only the time after a response.
    socket.setTimeout(limits.keepAliveTimeout);
    socket.on('data', (bytes: Buffer) => {
      this.receivedAt = performance.now();
      if (this.hasUnhandledPart || hasOnlyLineBreaks(bytes)) return;
      this.hasUnhandledPart = true;
      socket.setTimeout(0);
    });
    socket.once('close', () => this.closeWaitingResponses());
  }

  /** Whether no part of a request or response is on its way. Node.js doesn't count unused connections as idle. */
  get isIdle(): boolean {
    return this.responses.size === 0 && !this.hasUnhandledPart;
  }

  /** Whether a complete request waits for the end of its response. */
  get isServing(): boolean {
    return [...this.responses].some(({ req }) => req.complete);
  }

  /** Address of the caller; undefined once the connection is closed. */
  get address(): string | undefined {
    return this.socket.remoteAddress;
  }

  /** Closes the connection and ends what is in progress on it. */
  close(): void {
    this.socket.destroy();
  }

  /**
   * Tracks a request.
   *
   * @param message - the request
   * @param response - its response
   * @returns whether it can be answered; otherwise an earlier response closes the connection
   */
  begin(message: IncomingMessage, response: ServerResponse): boolean {
    const isAnswerable = [...this.responses].every(
      ({ headersSent, shouldKeepAlive }) => !headersSent || shouldKeepAlive,
    );
    this.responses.add(response);
    this.keepAnnouncedLimit(response);
    const update = (): void => {
      if (!message.complete || !response.closed) return;
      this.hasUnhandledPart = false;
      if (this.isIdle) this.onIdle();
    };
    response.once('close', () => {
      this.responses.delete(response);
      update();
    });
    // After the response if that was sent before the whole request had arrived.
    message.once('close', update);
    message.once('end', () => {
      this.hasHadRequest = true;
    });
    if (this.isClosing) this.announceClose();
    return isAnswerable;
  }

  /** Keeps the connection for as long as a response has announced, though a later limit may be shorter. */
  private keepAnnouncedLimit(response: ServerResponse): void {
    // Node.js announces the limit at the arrival of the request, and applies that at the end of the response.
    const { keepAliveTimeout: announcedMs } = this.limits;
    response.once('finish', () => {
      const isLast = this.responses.size === 1 && response.shouldKeepAlive;
      if (isLast) this.socket.setTimeout(Math.max(announcedMs, this.limits.keepAliveTimeout));
    });
  }

  /** Announces in the response to the last request, and in no earlier one, that the connection closes. */
  announceClose(): void {
    const unsent = [...this.responses].filter(({ headersSent }) => !headersSent);
    const last = unsent.pop();
    if (this.isClosing)
      unsent.forEach((response) => Object.assign(response, { shouldKeepAlive: true }));
    if (last) last.shouldKeepAlive = false;
    this.isClosing = true;
  }

  /** Closes the connection, if it is idle. Requests that have not been read by now are not read. */
  closeIfIdle(): void {
    if (this.isIdle) this.socket.destroy();
  }

  /** Refuses a request whose head has not been received completely. */
  refusePartialHead(): void {
    if (this.responses.size > 0) return;
    this.socket.write(formatRejection('partial request'));
    this.socket.destroySoon();
  }

  /** Closes the responses whose turn has not come: Node.js reports a lost connection only to the one before them. */
  private closeWaitingResponses(): void {
    const waiting = [...this.responses].filter(
      ({ socket, writableFinished }) => !socket && !writableFinished,
    );
    waiting.forEach((response) => {
      response.destroy();
      response.emit('close');
    });
  }
}
