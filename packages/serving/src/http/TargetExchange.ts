/** One request on a connection to a target, and its response. */
import { isHttpStatus } from '@jacinthlug/protocol/httpStatus';
import type { Dispatcher } from 'undici';
import { ResponseSizeLimit } from './ResponseSizeLimit.js';
import type { ResponseHeaders } from './Dialect.js';
import { INVALID_REQUEST, type ResponseListener, type TargetCall } from './TargetCall.js';

/** Timeout for the rest of a discarded response. Unit: ms. */
const DISCARD_TIMEOUT_MS = 1000;

/**
 * Maximum number of response bytes that are processed before yielding to the event loop: a target may send faster
 * than events can be parsed. Unit: bytes.
 */
const MAX_BYTES_BEFORE_YIELD = 4096;

/** Added to the size of each part, since even a part of one byte takes time to process. Unit: bytes. */
const PART_OVERHEAD_BYTES = 32;

const EMPTY_BUFFER = Buffer.alloc(0);

/** Lowest status of a final response; lower ones are informational. */
const FIRST_FINAL_STATUS = 200;

/** Statuses of responses that have no body, whatever their heads state. */
export const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Code with which the client rejects a request. */
const REJECTED_BY_CLIENT = 'UND_ERR_INVALID_ARG';

const createAbortError = (): Error => new Error('request aborted');

/** The connection of an exchange. */
export interface ExchangeConnection {
  /** Bytes of the connection that the client has processed or is processing. */
  readonly bytesTaken: number;
  /** Failure of the connection, if any. */
  readonly error: Error | undefined;
  /** Calls back at once, or when a reset that may follow the end of the connection is no longer awaited. */
  afterReset(callback: () => void): void;
  /** Called when the response has ended and the connection can be reused. */
  onEnd(): void;
  /** Called when the connection must be closed. */
  onFail(error: Error): void;
}

/** State of a request until the end of its response. */
export class TargetExchange implements Dispatcher.DispatchHandler, TargetCall {
  private controller: Dispatcher.DispatchController | undefined;

  private sizeLimit: ResponseSizeLimit;

  private isEnded = false;

  /** Whether only the end of the connection delimits the response; false before its head. */
  isCloseDelimited = false;

  /** Whether the response ends with its head. */
  private hasNoBody = false;

  /** Whether the listener has paused the response. */
  private isPaused = false;

  /** Bytes of the body that are not passed on yet. */
  private pendingBytes: Buffer = EMPTY_BUFFER;

  /** Bytes processed since the last yield to the event loop. */
  private bytesSinceYield = 0;

  /** Whether processing waits for the event loop. */
  private isYielding = false;

  /** Whether the connection has ended or failed, after which the client must not be paused. */
  private hasConnectionEnded = false;

  /** Set once the response has ended, while received bytes may still wait to be passed on. */
  private ending: { readonly connectionError: Error | undefined } | undefined;

  private discardTimer: NodeJS.Timeout | undefined;

  /**
   * Creates the state of a request.
   *
   * @param connection - connection that the request is sent on
   * @param listener - receives the response; undefined once it is discarded or has ended
   */
  constructor(
    private readonly connection: ExchangeConnection,
    private listener: ResponseListener | undefined,
  ) {
    // The client may read from the connection before it starts the request.
    this.sizeLimit = new ResponseSizeLimit(connection.bytesTaken);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.sizeLimit = new ResponseSizeLimit(this.connection.bytesTaken);
    this.listener?.sent();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (!isHttpStatus(status)) {
      const error = new Error(`invalid status ${status}`);
      this.fail(error);
      // Otherwise the client asserts the lower bound at the end of the response. For the message of a failed assertion,
      // Node.js parses the source file, which blocks the event loop for seconds in a bundled program.
      controller.abort(error);
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      this.sizeLimit.recordInformationalHead();
      this.checkSizeLimit();
      return;
    }
    this.sizeLimit.recordHead();
    this.hasNoBody = STATUSES_WITHOUT_BODY.has(status);
    this.isCloseDelimited =
      !this.hasNoBody &&
      headers['content-length'] === undefined &&
      headers['transfer-encoding'] === undefined;
    this.listener?.head(status, headers);
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isEnded) return;
    this.sizeLimit.recordBody(chunk.length);
    this.checkSizeLimit();
    this.pendingBytes =
      this.pendingBytes.length === 0 ? chunk : Buffer.concat([this.pendingBytes, chunk]);
    this.deliverPending();
  }

  onResponseEnd(): void {
    this.connection.afterReset(() => {
      this.ending = { connectionError: this.connection.error };
      this.endOnceDelivered();
    });
  }

  onResponseError(_: Dispatcher.DispatchController | undefined, error: Error): void {
    // The client takes the stated length of such a response for that of a body, which never comes.
    if (!this.hasNoBody || this.isEnded) {
      const { code, message } = error as NodeJS.ErrnoException;
      const isRejected = !this.controller && code === REJECTED_BY_CLIENT;
      this.fail(isRejected ? Object.assign(new Error(message), { code: INVALID_REQUEST }) : error);
      return;
    }
    this.settle()?.end(undefined);
    this.connection.onFail(error);
  }

  /**
   * Lets the client process the end of the connection. If it is paused when the end of a response without length or
   * chunks arrives, it throws an error that ends the process.
   */
  handleConnectionEnd(): void {
    if (this.isEnded || this.hasConnectionEnded) return;
    this.hasConnectionEnded = true;
    this.controller?.resume();
  }

  /** Fails the request when the response exceeds its size limit. */
  checkSizeLimit(): void {
    if (this.sizeLimit.isExceededAt(this.connection.bytesTaken)) {
      this.fail(new Error('response size limit exceeded'));
    }
  }

  abort(): void {
    this.fail(createAbortError());
  }

  discard(): void {
    if (this.isEnded) return;
    this.listener = undefined;
    this.sizeLimit.discard();
    this.discardTimer = setTimeout(() => this.abort(), DISCARD_TIMEOUT_MS);
    this.resume();
  }

  pause(): void {
    this.isPaused = true;
    if (!this.hasConnectionEnded) this.controller?.pause();
  }

  resume(): void {
    this.isPaused = false;
    if (!this.isYielding) this.deliverPending();
  }

  private fail(error: Error): void {
    if (this.isEnded) return;
    this.settle()?.fail(error);
    this.connection.onFail(error);
  }

  /** Ends the exchange and returns the listener that must still be notified, if any. */
  private settle(): ResponseListener | undefined {
    this.isEnded = true;
    clearTimeout(this.discardTimer);
    const { listener } = this;
    this.listener = undefined;
    return listener;
  }

  /** Passes pending bytes on until the listener pauses or the event loop must run. */
  private deliverPending(): void {
    while (this.pendingBytes.length > 0 && !this.isBlocked) {
      const part = this.pendingBytes.subarray(0, MAX_BYTES_BEFORE_YIELD);
      this.pendingBytes = this.pendingBytes.subarray(part.length);
      this.listener?.data(part);
      this.bytesSinceYield += part.length + PART_OVERHEAD_BYTES;
      if (this.bytesSinceYield >= MAX_BYTES_BEFORE_YIELD) this.yieldToEventLoop();
    }
    this.endOnceDelivered();
    if (this.hasConnectionEnded) return;
    if (this.isBlocked) this.controller?.pause();
    else this.controller?.resume();
  }

  private endOnceDelivered(): void {
    if (!this.ending || this.isEnded || this.pendingBytes.length > 0) return;
    this.settle()?.end(this.ending.connectionError);
    this.connection.onEnd();
  }

  private get isBlocked(): boolean {
    return this.isEnded || this.isPaused || this.isYielding;
  }

  private yieldToEventLoop(): void {
    this.bytesSinceYield = 0;
    this.isYielding = true;
    setImmediate(() => {
      this.isYielding = false;
      if (!this.isBlocked) this.deliverPending();
    });
  }
}
