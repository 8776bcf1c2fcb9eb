/** Graceful shutdown. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { BatchWorker } from '../BatchWorker.js';
import type { RunningRequests } from '../online/RunningRequests.js';
import type { ServingState } from './ServingState.js';

/** Connections that do not close in time are left to the end of the process. Unit: ms. */
const CLOSE_TIMEOUT_MS = 2000;

/** What a shutdown works on. */
export interface ShutdownDependencies {
  readonly settings: Pick<AgentSettings, 'graceMs' | 'stopWithinMs'>;
  readonly serving: ServingState;
  readonly running: RunningRequests;
  readonly batchWorker: BatchWorker;
  readonly journal: Journal;
  /** Closes what is left, once nothing runs any more. */
  readonly closeResources: () => Promise<void>;
}

/** Graceful shutdown of the agent. */
export class Shutdown {
  private exitCode: Promise<number> | undefined;

  constructor(private readonly dependencies: ShutdownDependencies) {}

  /**
   * Stops the process gracefully; only the first call has an effect.
   *
   * @returns the exit code: 0 when all work ended, 1 when the deadline cut some
   */
  request(): Promise<number> {
    this.exitCode ??= this.run();
    return this.exitCode;
  }

  private async run(): Promise<number> {
    const { settings, serving, running, journal, closeResources: closeRest } = this.dependencies;
    const stopBy = performance.now() + settings.stopWithinMs;
    journal.record('stop-requested');
    serving.requestStop();
    const finished = await Promise.race([
      this.finishWork().then(() => true),
      sleep(stopBy - performance.now(), false, { ref: false }),
    ]);
    if (!finished) {
      journal.record('stop-cut', { requests: running.size });
      running.abortAll();
    }
    await Promise.race([closeRest(), sleep(CLOSE_TIMEOUT_MS, undefined, { ref: false })]);
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
