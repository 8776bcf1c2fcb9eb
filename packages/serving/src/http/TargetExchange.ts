/** One request on a connection to a target, and its answer. */
import type { Dispatcher } from 'undici';
import { ResponseSizeLimit } from './ResponseSizeLimit.js';
import type { ResponseHeaders } from './Dialect.js';
import type { ResponseListener, TargetCall } from './TargetCall.js';

/** Time in which the rest of an answer that nobody wants must have come. Unit: ms. */
const DISCARD_TIMEOUT_MS = 1000;

/**
 * Bytes of an answer that are handled before the other work of the host has its turn: a target may send faster than
 * events can be told apart. Unit: bytes.
 */
const MAX_BYTES_BEFORE_YIELD = 4096;

/** What each part of a body counts besides its bytes, as parts of one byte take time too. Unit: bytes. */
const PART_OVERHEAD_BYTES = 32;

const EMPTY_BUFFER = Buffer.alloc(0);

/** First status of an answer; those below are informational. */
const FIRST_FINAL_STATUS = 200;

const createAbortError = (): Error => new Error('request was given up');

/** What an exchange needs of its connection. */
export interface ExchangeConnection {
  /** Bytes that the connection has carried so far. */
  readonly bytesRead: number;
  /** Called when the answer has ended and the connection can be used again. */
  onEnd(): void;
  /** Called when the connection must be closed. */
  onFail(error: Error): void;
}

/** State of a request from its send to the end of its answer. */
export class TargetExchange implements Dispatcher.DispatchHandler, TargetCall {
  private controller: Dispatcher.DispatchController | undefined;

  private sizeLimit = new ResponseSizeLimit(0);

  private isEnded = false;

  /** Whether the listener wants no more for now. */
  private isPaused = false;

  /** What has come of the body and was not handled yet. */
  private pendingBytes: Buffer = EMPTY_BUFFER;

  /** Bytes handled since the other work of the host had its turn. */
  private bytesSinceYield = 0;

  /** Whether the other work of the host has its turn. */
  private isYielding = false;

  private discardTimer: NodeJS.Timeout | undefined;

  /**
   * Creates the state of a request.
   *
   * @param connection - the connection that it is sent on
   * @param listener - takes the answer; absent once nobody wants it
   */
  constructor(
    private readonly connection: ExchangeConnection,
    private listener: ResponseListener | undefined,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.sizeLimit = new ResponseSizeLimit(this.connection.bytesRead);
    this.listener?.sent();
  }

  onResponseStart(
    _: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      this.sizeLimit.recordInformationalHead();
      this.check();
      return;
    }
    this.sizeLimit.recordHead();
    this.listener?.head(status, headers);
  }

  onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.sizeLimit.recordBody(chunk.length);
    this.check();
    this.pendingBytes = chunk;
    this.deliverPending();
  }

  onResponseEnd(): void {
    if (this.isEnded) return;
    this.settle()?.end();
    this.connection.onEnd();
  }

  onResponseError(_: Dispatcher.DispatchController | undefined, error: Error): void {
    this.fail(error);
  }

  /** Compares what the connection has carried with what an answer may have. */
  check(): void {
    if (this.sizeLimit.isExceededAt(this.connection.bytesRead)) {
      this.fail(new Error('answer without end'));
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
    this.controller?.pause();
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

  /** Ends the exchange and gives who must still be told. */
  private settle(): ResponseListener | undefined {
    this.isEnded = true;
    clearTimeout(this.discardTimer);
    const { listener } = this;
    this.listener = undefined;
    return listener;
  }

  /** Hands on what has come, as far as the listener and the other work of the host allow. */
  private deliverPending(): void {
    while (this.pendingBytes.length > 0 && !this.isBlocked) {
      const part = this.pendingBytes.subarray(0, MAX_BYTES_BEFORE_YIELD);
      this.pendingBytes = this.pendingBytes.subarray(part.length);
      this.listener?.data(part);
      this.bytesSinceYield += part.length + PART_OVERHEAD_BYTES;
      if (this.bytesSinceYield >= MAX_BYTES_BEFORE_YIELD) this.yieldToEventLoop();
    }
    if (this.isBlocked) this.controller?.pause();
    else this.controller?.resume();
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
