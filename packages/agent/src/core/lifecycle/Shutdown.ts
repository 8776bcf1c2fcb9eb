/** Graceful shutdown. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { BatchWorker } from '../BatchWorker.js';
import type { RunningRequests } from '../online/RunningRequests.js';
import type { ServingState } from './ServingState.js';

/** Timeout for closing connections; the end of the process closes the others. Unit: ms. */
const CLOSE_TIMEOUT_MS = 2000;

/** Dependencies of {@link Shutdown}. */
export interface ShutdownDependencies {
  readonly settings: Pick<AgentSettings, 'graceMs' | 'stopWithinMs'>;
  readonly serving: ServingState;
  readonly running: RunningRequests;
  readonly batchWorker: BatchWorker;
  readonly journal: Journal;
  /** Closes servers and connections after the work has ended. */
  readonly closeResources: () => Promise<void>;
}

/** Graceful shutdown of the agent. */
export class Shutdown {
  private exitCode: Promise<number> | undefined;

  constructor(private readonly dependencies: ShutdownDependencies) {}

  /**
   * Stops the process gracefully; only the first call has an effect.
   *
   * @returns the exit code: 0 when all work has ended, 1 when the deadline aborted some of it
   */
  request(): Promise<number> {
    this.exitCode ??= this.run();
    return this.exitCode;
  }

  private async run(): Promise<number> {
    const { settings, serving, running, journal, closeResources } = this.dependencies;
    const deadline = performance.now() + settings.stopWithinMs;
    journal.record('stop-requested');
    serving.requestStop();
    const finished = await Promise.race([
      this.finishWork().then(() => true),
      sleep(deadline - performance.now(), false, { ref: false }),
    ]);
    if (!finished) {
      journal.record('stop-cut', { requests: running.size });
      running.abortAll();
    }
    await Promise.race([closeResources(), sleep(CLOSE_TIMEOUT_MS, undefined, { ref: false })]);
    if (finished) journal.record('stop-complete');
    return finished ? 0 : 1;
  }

  private async finishWork(): Promise<void> {
    const { settings, running, batchWorker } = this.dependencies;
    const batchStopped = batchWorker.stop();
    await sleep(settings.graceMs);
    await running.whenIdle();
    await batchStopped;
  }
}
