/** A persistent connection to a target, with one request at a time. */
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import type { ResponseListener, TargetCall, TargetRequest } from './TargetCall.js';
import { TargetExchange } from './TargetExchange.js';

/** Timeout for opening a connection to a target. Unit: ms. */
const CONNECT_TIMEOUT_MS = 1000;

/** Idle timeout of a connection when the target does not state one. Unit: ms. */
const KEEP_ALIVE_MS = 4000;

/** Maximum idle timeout of a connection, whatever the target states. Unit: ms. */
const MAX_KEEP_ALIVE_MS = 30_000;

/**
 * Maximum head size of the client. {@link ResponseSizeLimit} has a lower limit that applies first, since the client creates
 * an error for each line beyond its own. Unit: bytes.
 */
const CLIENT_MAX_HEAD_BYTES = 2 ** 30;

/** Maximum number of requests on a connection, whose ids it keeps. */
const MAX_REQUESTS = 256;

/**
 * Maximum number of bytes that the client takes from the socket at a time. When a listener pauses, the client puts the rest
 * of them back. If it had taken all bytes, the socket would count as empty and read on, however slowly they are
 * processed. Unit: bytes.
 */
const MAX_BYTES_PER_READ = 4096;

/**
 * Maximum size of a body that a target's HTTP parser may have taken from the connection before the target reads it. Larger
 * unread bodies leave bytes in the connection, for which the target's system sends a reset when the connection is closed. Unit:
 * bytes.
 */
const MAX_READ_AHEAD_BYTES = 65_536;

/**
 * Time after the end of a connection in which a reset is awaited, before the end of a response that only this end delimits is
 * passed on. Unit: ms.
 */
const RESET_WAIT_MS = 100;

const createResetError = (): Error =>
  Object.assign(new Error('connection reset by the target'), { code: 'ECONNRESET' });

const createUnreadError = (): Error =>
  Object.assign(new Error('connection ended by the target before the request was sent'), {
    code: 'EPIPE',
  });

const openConnection = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** Callbacks of a connection. */
export interface ConnectionListener {
  /** Called when the connection is ready for the next request. */
  readonly onIdle: (connection: TargetConnection) => void;
  /** Called when the connection is closed. */
  readonly onClosed: (connection: TargetConnection) => void;
}

/** A connection that is opened by its first request. */
export class TargetConnection {
  private readonly client: Client;

  private socket: Socket | undefined;

  /** Failure of the socket, if any. */
  private socketError: Error | undefined;

  /** Bytes that the client has taken from the socket. */
  private bytesTaken = 0;

  private exchange: TargetExchange | undefined;

  private isClosed = false;

  /** Whether the target may have left bytes of the request's body unread in the connection. */
  private mayLeaveUnread = false;

  /** Called when no reset is awaited any more; undefined while none is awaited. */
  private onResetSettled: (() => void)[] | undefined;

  /** Ids of the requests that the connection has carried. */
  private readonly carriedIds = new Set<string>();

  /**
   * Creates a connection.
   *
   * @param address - IP address and port of the target
   * @param listener - called when the connection is idle or closed
   */
  constructor(
    address: string,
    private readonly listener: ConnectionListener,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      // Timeouts are set per attempt, where the limits of the request are known.
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
   * Checks whether the responses on the connection can be told apart from that to a request. A target may write an
   * earlier response once more, which only its id identifies.
   *
   * @param id - id of the request; empty if it has none
   * @returns false if the connection has carried a request with that id, or any request if it has none
   */
  canCarry(id: string): boolean {
    return id === '' ? this.carriedIds.size === 0 : !this.carriedIds.has(id);
  }

  /**
   * Sends a request; the connection must be idle.
   *
   * @param request - the request
   * @param listener - receives the response
   * @returns control of the call
   */
  send({ id, method, path, headers, body }: TargetRequest, listener: ResponseListener): TargetCall {
    this.carriedIds.add(id);
    this.mayLeaveUnread = (body?.length ?? 0) > MAX_READ_AHEAD_BYTES;
    const getBytesTaken = (): number => this.bytesTaken;
    const getError = (): Error | undefined => this.socketError;
    const exchange = new TargetExchange(
      {
        get bytesTaken() {
          return getBytesTaken();
        },
        get error() {
          return getError();
        },
        afterReset: (callback) => {
          if (this.onResetSettled) this.onResetSettled.push(callback);
          else callback();
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
   * Closes the connection, even with a running request.
   *
   * @param error - the reason, which is logged with the request
   */
  close(error: Error = new Error('connection is no longer needed')): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.listener.onClosed(this);
    // Aborting only the request would make the client open a new connection that is not needed.
    void this.client.destroy(error);
  }

  /** Observes a new socket before the client does. */
  private watch(socket: Socket): void {
    this.socket = socket;
    this.socketError = undefined;
    this.bytesTaken = 0;
    const read = socket.read.bind(socket);
    const destroy = socket.destroy.bind(socket);
    socket.on('end', () => {
      // A response that only this end delimits isn't complete while its target can't have read the request.
      if (this.mayLeaveUnread && this.exchange?.isCloseDelimited && socket.writableLength === 0)
        this.awaitReset(socket, destroy);
      // A reset that arrives together with data is reported as a regular end, but leaves the socket without a peer.
      else if (socket.remoteAddress === undefined) this.socketError = createResetError();
      else if (socket.writableLength > 0) this.socketError = createUnreadError();
      this.exchange?.handleConnectionEnd();
    });
    Object.assign(socket, {
      read: (size?: number): unknown => {
        // Counts all bytes that the client has processed, also those that are not part of a response.
        this.exchange?.checkSizeLimit();
        // The client would go on with the bytes that a closed connection has left.
        if (this.isClosed) return null;
        // Without a size, an empty socket is asked for more bytes.
        const bytes = read(
          size ?? (Math.min(socket.readableLength, MAX_BYTES_PER_READ) || undefined),
        ) as Buffer | null;
        this.bytesTaken += bytes?.length ?? 0;
        return bytes;
      },
      destroy: (error?: Error) => {
        // A closed socket could not tell a reset from a regular end.
        if (this.onResetSettled && !this.isClosed) return socket;
        this.socketError ??= error;
        this.exchange?.handleConnectionEnd();
        return destroy(error);
      },
    });
  }

  /**
   * Keeps a socket that has ended open for a while. The end is sent before the target closes the connection, so that a reset
   * because of unread bytes comes after it.
   */
  private awaitReset(socket: Socket, destroy: Socket['destroy']): void {
    const callbacks: (() => void)[] = [];
    this.onResetSettled = callbacks;
    // Without the end of this side, only a reset leaves the socket without a peer.
    Object.assign(socket, { allowHalfOpen: true });
    setTimeout(() => {
      this.onResetSettled = undefined;
      if (socket.remoteAddress === undefined) this.socketError ??= createResetError();
      callbacks.forEach((callback) => callback());
      destroy();
    }, RESET_WAIT_MS);
  }

  private release(): void {
    // The client is still processing the response here and accepts the next request only after this call returns.
    queueMicrotask(() => {
      this.exchange = undefined;
      if (this.carriedIds.size >= MAX_REQUESTS) this.close();
      else if (!this.isClosed) this.listener.onIdle(this);
    });
  }
}
