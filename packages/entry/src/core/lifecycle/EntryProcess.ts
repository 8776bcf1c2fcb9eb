/** Starts and stops the components of an entry host in order. */
import type { Server } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { RateShares } from '@jacinthlug/control/RateShares';
import type { EntrySettings } from '@jacinthlug/settings/process/hostSettings';
import { setTimeout as sleep } from 'node:timers/promises';
import type { BackgroundWrites } from '../claims/BackgroundWrites.js';
import type { DataPath } from '../forwarding/DataPath.js';
import type { AgentTable } from '../routing/AgentTable.js';
import type { Lifecycle } from './Lifecycle.js';

/** A component that only needs to be closed when the process stops. */
export interface Closable {
  close(): unknown;
}

/** Dependencies of {@link EntryProcess}. */
export interface EntryProcessDependencies {
  readonly settings: EntrySettings;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly lifecycle: Lifecycle;
  readonly inner: Server;
  readonly outer: Server;
  readonly follower: ConfigurationFollower;
  readonly rates: RateShares;
  readonly agents: AgentTable;
  readonly background: BackgroundWrites;
  readonly dataPath: DataPath;
  /** Components that can be closed in any order. */
  readonly closables: readonly Closable[];
}

/** Interval at which connections that have become idle are closed during a stop. Unit: ms. */
const IDLE_CONNECTION_CHECK_INTERVAL_MS = 50;

const listen = (server: Server, { host, port }: EntrySettings['outer']): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });

const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    // A connection is not idle until its response is flushed, so a single call would miss it.
    const timer = setInterval(
      () => server.closeIdleConnections(),
      IDLE_CONNECTION_CHECK_INTERVAL_MS,
    );
    server.close(() => {
      clearInterval(timer);
      resolve();
    });
  });

/** An entry host. */
export class EntryProcess {
  private readonly startController = new AbortController();

  private stopped: Promise<number> | undefined;

  constructor(private readonly dependencies: EntryProcessDependencies) {}

  /** Starts all components and resolves when a configuration is in force. Until then, requests are refused. */
  async start(): Promise<void> {
    const { settings, journal, inner, outer, follower, rates, agents } = this.dependencies;
    await listen(inner, settings.inner);
    await listen(outer, settings.outer);
    journal.record('process-started', { inner: settings.inner, outer: settings.outer });
    agents.start();
    await follower.start(this.startController.signal);
    if (this.startController.signal.aborted) return;
    rates.start();
    journal.record('process-ready');
  }

  /**
   * Stops gracefully: announces the stop, waits for running exchanges and background writes, then releases rate
   * shares and leases. Later calls return the result of the first.
   *
   * @returns the exit code: 0, or 1 when running work was aborted at the deadline
   */
  stop(): Promise<number> {
    this.stopped ??= this.stopOnce();
    return this.stopped;
  }

  private async stopOnce(): Promise<number> {
    const { settings, journal, lifecycle } = this.dependencies;
    const deadline = performance.now() + settings.stopWithinMs;
    journal.record('stop-requested', { stopWithinMs: settings.stopWithinMs });
    this.startController.abort();
    const remainingMs = () => Math.max(0, deadline - performance.now());
    const timeoutController = new AbortController();
    const outcome = await Promise.race([
      this.drain().then(() => 'complete' as const),
      sleep(remainingMs(), 'cut' as const, { signal: timeoutController.signal, ref: true }),
    ]);
    timeoutController.abort();
    this.closeAll();
    if (outcome === 'complete') journal.record('stop-complete');
    else journal.record('stop-cut', { running: lifecycle.countRunning() });
    return outcome === 'complete' ? 0 : 1;
  }

  private async drain(): Promise<void> {
    const { settings, lifecycle, outer, inner, rates, background, follower } = this.dependencies;
    lifecycle.announceStop();
    await sleep(settings.graceMs);
    lifecycle.refuseNewExchanges();
    await lifecycle.waitUntilIdle();
    await background.waitUntilIdle();
    await rates.stop();
    await follower.stop();
    await Promise.all([closeServer(outer), closeServer(inner)]);
  }

  private closeAll(): void {
    const { outer, inner, agents, background, dataPath, metrics, closables } = this.dependencies;
    background.stopRetrying();
    agents.stop();
    [outer, inner].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    void dataPath.close();
    closables.forEach((closable) => closable.close());
    metrics.close();
  }
}
