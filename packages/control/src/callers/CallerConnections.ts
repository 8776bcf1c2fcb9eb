/** The connections of callers to a server, bounded in number. */
import type { Duplex } from 'node:stream';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { CallerConnection } from './CallerConnection.js';
import { chooseReplaced } from './chooseReplaced.js';

/** Dependencies of {@link CallerConnections}. */
export interface CallerConnectionsDependencies {
  /** Maximum number of connections. */
  readonly maxConnections: number;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Open connections. */
export class CallerConnections {
  private readonly connections = new Map<Duplex, CallerConnection>();

  constructor(private readonly dependencies: CallerConnectionsDependencies) {}

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /**
   * Returns the connection of a socket.
   *
   * @param socket - the socket
   * @returns the connection; undefined if it has been closed
   */
  get(socket: Duplex): CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Lists the open connections.
   *
   * @returns the connections
   */
  list(): CallerConnection[] {
    return [...this.connections.values()];
  }

  /**
   * Adds a connection, or closes it if there are as many as allowed and each one serves a request.
   *
   * @param socket - socket of the connection
   * @param connection - the connection
   */
  add(socket: Duplex, connection: CallerConnection): void {
    if (!this.hasRoom()) {
      socket.destroy();
      return;
    }
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
  }

  /** Checks whether a new connection can be kept; closes another one if there are as many as allowed. */
  private hasRoom(): boolean {
    const { maxConnections, journal, metrics } = this.dependencies;
    if (this.connections.size < maxConnections) return true;
    const replaced = chooseReplaced(this.connections.values());
    metrics.count('connections.replaced');
    journal.record('connection-replaced', {
      connections: this.connections.size,
      address: replaced?.address,
      idleMs: replaced && Math.round(performance.now() - replaced.receivedAt),
      hadRequest: replaced?.hasHadRequest,
    });
    if (!replaced) return false;
    // Its socket reports the close later, and another new connection could choose it once more until then.
    this.connections.forEach((connection, socket) => {
      if (connection === replaced) this.connections.delete(socket);
    });
    replaced.close();
    return true;
  }
}
