/** One connection to a target: one request at a time, kept for the next. */
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type { ResponseListener, TargetCall, TargetRequest } from './TargetCall.js';
import { TargetExchange } from './TargetExchange.js';

/** Time for a connection to a target to open. Unit: ms. */
const CONNECT_TIMEOUT_MS = 1000;

/** How long an idle connection is kept when the target does not say. Unit: ms. */
const KEEP_ALIVE_MS = 4000;

/** How long an idle connection is kept at most, whatever the target says. Unit: ms. */
const MAX_KEEP_ALIVE_MS = 30_000;

/**
 * Largest head that the client itself takes: more than {@link AnswerBudget} allows, since the client takes long to
 * give up a head of many lines. Unit: bytes.
 */
const CLIENT_MAX_HEAD_BYTES = 2 ** 30;

const openConnection = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** What a connection tells its owner. */
export interface ConnectionListener {
  /** The connection can take the next request. */
  readonly onIdle: (connection: TargetConnection) => void;
  /** The connection is gone. */
  readonly onClosed: (connection: TargetConnection) => void;
}

/** A connection that opens with its first request. */
export class TargetConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  private exchange: TargetExchange | undefined;

  private isClosed = false;

  /**
   * Creates a connection.
   *
   * @param address - IP number and port of the target
   * @param listener - told when the connection is idle or gone
   */
  constructor(
    address: string,
    private readonly listener: ConnectionListener,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      // Silence is judged where it is known what the request may wait for.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: CLIENT_MAX_HEAD_BYTES,
      connect: (options, callback) =>
        openConnection(options, (...result) => {
          const [, socket] = result;
          if (socket) this.watch(socket);
          callback(...result);
        }),
    });
    this.client.on('disconnect', () => {
      if (!this.exchange) this.close();
    });
  }

  /**
   * Sends a request; the connection must be idle.
   *
   * @param request - the request
   * @param listener - takes the answer
   * @returns control of the call
   */
  send({ method, path, headers, body }: TargetRequest, listener: ResponseListener): TargetCall {
    const bytesRead = (): number => this.socket?.bytesRead ?? 0;
    const exchange = new TargetExchange(
      {
        get bytesRead() {
          return bytesRead();
        },
        onEnd: () => this.release(),
        onFail: (error) => this.close(error),
      },
      listener,
    );
    this.exchange = exchange;
    this.client.dispatch(
      { method, path, headers, body, idempotent: false, blocking: false },
      exchange,
    );
    return exchange;
  }

  /**
   * Closes the connection, also with a request on it.
   *
   * @param error - why; for the log of the request
   */
  close(error: Error = new Error('connection is not needed any more')): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener.onClosed(this);
    // A client that only aborts its request opens a new connection, which nobody waits for.
    void this.client.destroy(error);
  }

  /** Compares what arrives with the bounds of an answer, also where it makes no part of one. */
  private watch(socket: Socket): void {
    this.socket = socket;
    socket.on('readable', () => this.exchange?.check());
  }

  private release(): void {
    // The client still works on the answer here; it takes the next request when it has returned.
    queueMicrotask(() => {
      this.exchange = undefined;
      if (!this.isClosed) this.listener.onIdle(this);
    });
  }
}
