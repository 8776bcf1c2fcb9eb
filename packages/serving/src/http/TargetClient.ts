/** Connections to targets: one request at a time on each, kept for the next. */
import { Pool, type Dispatcher } from 'undici';
import type { Target } from '../fleet/Target.js';

/** Time for a connection to a target to open. Unit: ms. */
const CONNECT_MS = 1000;

/** How long an idle connection is kept when the target does not say. Unit: ms. */
const IDLE_MS = 4000;

/** How long an idle connection is kept at most, whatever the target says. Unit: ms. */
const LONGEST_IDLE_MS = 30_000;

/** A request as it goes to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** Takes the answer of a target. Exactly one of `end` and `fail` is called last. */
export interface AnswerListener {
  /** The request is about to be written; from here on the target may have run it. */
  sent(): void;
  head(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
  data(chunk: Buffer): void;
  end(): void;
  fail(error: Error): void;
}

/** Control of a request at a target. */
export interface TargetCall {
  /** Breaks the connection, so that the target stops its work. */
  abort(): void;
  pause(): void;
  resume(): void;
}

const createAbort = (): Error => new Error('request was given up');

/** Sends requests to targets. */
export class TargetClient {
  private readonly pools = new Map<string, Pool>();

  /**
   * Sends a request.
   *
   * @param target - the target
   * @param request - the request
   * @param listener - takes the answer
   * @returns control of the call
   */
  send(target: Target, request: TargetRequest, listener: AnswerListener): TargetCall {
    let controller: Dispatcher.DispatchController | undefined;
    let ended = false;
    const fail = (error: Error): void => {
      if (ended) return;
      ended = true;
      listener.fail(error);
    };
    this.poolOf(target).dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        idempotent: false,
        blocking: false,
      },
      {
        onRequestStart(given) {
          controller = given;
          if (ended) given.abort(createAbort());
          else listener.sent();
        },
        onResponseStart(_, status, headers) {
          if (!ended) listener.head(status, headers);
        },
        onResponseData(_, chunk) {
          if (!ended) listener.data(chunk);
        },
        onResponseEnd() {
          if (ended) return;
          ended = true;
          listener.end();
        },
        onResponseError(_, error) {
          fail(error);
        },
      },
    );
    return {
      abort: () => {
        fail(createAbort());
        controller?.abort(createAbort());
      },
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  /**
   * Closes the idle connections of targets that are no longer there.
   *
   * @param isKnown - whether a target is still in use
   */
  sweep(isKnown: (id: string) => boolean): void {
    [...this.pools.entries()].forEach(([key, pool]) => {
      if (isKnown(key.slice(0, key.indexOf('@')))) return;
      this.pools.delete(key);
      // Running requests end first.
      void pool.close();
    });
  }

  /** Closes all connections, also those of running requests. */
  close(): void {
    this.pools.forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
  }

  private poolOf({ id, address, bornAt }: Target): Pool {
    const key = `${id}@${address}/${bornAt}`;
    const pool =
      this.pools.get(key) ??
      new Pool(`http://${address}`, {
        pipelining: 1,
        connect: { timeout: CONNECT_MS },
        keepAliveTimeout: IDLE_MS,
        keepAliveMaxTimeout: LONGEST_IDLE_MS,
        // Silence is judged where it is known what the request may wait for.
        headersTimeout: 0,
        bodyTimeout: 0,
        maxHeaderSize: 65_536,
      });
    this.pools.set(key, pool);
    return pool;
  }
}
