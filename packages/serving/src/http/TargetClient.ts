/** HTTP client for targets, with a connection pool per target. */
import type { Target } from '../fleet/Target.js';
import type { ResponseListener, TargetCall, TargetRequest } from './TargetCall.js';
import { TargetConnection } from './TargetConnection.js';

/** Connections to one incarnation of a target. */
interface ConnectionPool {
  readonly target: string;
  readonly all: Set<TargetConnection>;
  /** Ordered by last use; the most recent one is last. */
  readonly idle: TargetConnection[];
  /** Whether connections are closed when their request ends. */
  isClosing: boolean;
}

const openConnection = (pool: ConnectionPool, address: string): TargetConnection => {
  const connection = new TargetConnection(address, {
    onIdle: (idle) => {
      if (pool.isClosing) idle.close();
      else pool.idle.push(idle);
    },
    onClosed: (closed) => {
      pool.all.delete(closed);
      const index = pool.idle.indexOf(closed);
      if (index >= 0) pool.idle.splice(index, 1);
    },
  });
  pool.all.add(connection);
  return connection;
};

/** Takes the connection that was used last among those that may carry a request with this id. */
const takeIdleConnection = ({ idle }: ConnectionPool, id: string): TargetConnection | undefined => {
  const index = idle.findLastIndex((connection) => connection.canCarry(id));
  return index < 0 ? undefined : idle.splice(index, 1)[0];
};

/** Control of a call for which no connection could be opened. */
const FAILED_CALL: TargetCall = {
  abort: () => undefined,
  discard: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};

/** Sends requests to targets. */
export class TargetClient {
  private readonly pools = new Map<string, ConnectionPool>();

  /**
   * Sends a request. If no connection can be opened, for example as the address is invalid, the call fails like one
   * whose connection is refused.
   *
   * @param target - the target
   * @param request - the request
   * @param listener - receives the response or the failure
   * @returns control of the call
   */
  send(target: Target, request: TargetRequest, listener: ResponseListener): TargetCall {
    const pool = this.getPool(target);
    const reusable = takeIdleConnection(pool, request.id);
    let connection: TargetConnection;
    try {
      connection = reusable ?? openConnection(pool, target.address);
    } catch (error) {
      queueMicrotask(() => listener.fail(error as Error));
      return FAILED_CALL;
    }
    return connection.send(request, listener);
  }

  /**
   * Closes the idle connections to targets that no longer exist.
   *
   * @param isKnown - checks by id whether a target still exists
   */
  closeUnusedPools(isKnown: (id: string) => boolean): void {
    [...this.pools.entries()].forEach(([key, pool]) => {
      if (isKnown(pool.target)) return;
      this.pools.delete(key);
      // Connections with a running request are closed when it ends.
      Object.assign(pool, { isClosing: true });
      [...pool.idle].forEach((connection) => connection.close());
    });
  }

  /** Closes all connections, including those with running requests. */
  close(): void {
    this.pools.forEach(({ all }) => [...all].forEach((connection) => connection.close()));
    this.pools.clear();
  }

  private getPool({ id, address, bornAt }: Target): ConnectionPool {
    const key = `${id}@${address}/${bornAt}`;
    const pool = this.pools.get(key) ?? {
      target: id,
      all: new Set(),
      idle: [],
      isClosing: false,
    };
    this.pools.set(key, pool);
    return pool;
  }
}
