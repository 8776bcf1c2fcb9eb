/** Batch worker of an agent: claims and runs chunks while the target has spare capacity. */
import type { FreeChunk, Holder } from '@jacinthlug/batch/ChunkStore';
import type { BatchWorker } from '../BatchWorker.js';
import type { ChunkDependencies } from './ChunkDependencies.js';
import { ChunkRun, type ChunkRunOutcome } from './ChunkRun.js';
import { Notifier } from './Notifier.js';

/**
 * Maximum chunks held at once. The second fills the slots that become free while the last items of
 * the first still run.
 */
const MAX_CHUNKS = 2;

/** Maximum interval between searches when no chunk was free. Unit: ms. */
const EMPTY_POLL_INTERVAL_MS = 5000;

/** Random fraction of the interval, so that agents do not poll in step. */
const JITTER_FRACTION = 0.5;

/** Maximum delay after losing a claim to another agent. Unit: ms. */
const MAX_CONTENTION_DELAY_MS = 1000;

/** Interval between checks while the target has no spare capacity. Unit: ms. */
const BUSY_POLL_INTERVAL_MS = 500;

/** Dependencies of the batch worker. */
export interface BatchWorkerDependencies extends ChunkDependencies {
  readonly holder: Holder;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Creates the batch worker of an agent.
 *
 * @param dependencies - target, stores, clock and the holder that claims chunks
 * @returns the worker, not started
 */
export const createBatchWorker = (dependencies: BatchWorkerDependencies): BatchWorker => {
  const { target, chunks, clock, holder, random, journal, metrics } = dependencies;
  const stopping = new AbortController();
  const change = new Notifier();
  const runs = new Set<ChunkRun>();
  const activeRuns = new Set<Promise<void>>();
  let loop: Promise<void> = Promise.resolve();

  const wait = async (ms: number): Promise<void> => {
    const woken = new AbortController();
    const signal = AbortSignal.any([stopping.signal, woken.signal]);
    void change.next().then(() => woken.abort());
    await clock.waitUntil(clock.monotonic() + ms, signal);
  };

  const withJitter = (ms: number): number => ms * (1 - JITTER_FRACTION * random());

  const mayClaim = (): boolean =>
    target.hasSpareCapacity() &&
    runs.size < MAX_CHUNKS &&
    [...runs].every(({ isQueueEmpty: isHungry }) => isHungry);

  const findEarliest = async (): Promise<FreeChunk | undefined> => {
    const found: FreeChunk[] = [];
    for (const model of target.listModels()) {
      const free = await chunks.findFree(model);
      if (free.isOk() && free.value) found.push(free.value);
      if (free.isErr()) journal.record('platform-unavailable', { failure: free.error });
    }
    return found.sort((left, right) => left.job.dueAt - right.job.dueAt)[0];
  };

  const recordOutcome = (run: ChunkRun, outcome: ChunkRunOutcome): void => {
    if (outcome === 'committed') journal.record('chunk-committed', { job: run.job });
    if (outcome === 'lost') journal.record('chunk-lost', { job: run.job });
  };

  const runChunk = async (run: ChunkRun): Promise<void> => {
    runs.add(run);
    try {
      recordOutcome(run, await run.run());
    } catch (fault) {
      journal.record('unhandled-fault', { job: run.job, fault: String(fault) });
    } finally {
      runs.delete(run);
      change.notify();
    }
  };

  const claimNext = async (): Promise<boolean> => {
    const chunk = await findEarliest();
    if (!chunk || stopping.signal.aborted) return false;
    const claimed = await chunks.claim(chunk, holder);
    metrics.count('batch.claims', { outcome: claimed.isOk() ? 'claimed' : claimed.error.kind });
    if (claimed.isErr()) {
      // Another agent won the claim. Random delays keep the agents from competing again.
      if (claimed.error.kind === 'lost') await wait(MAX_CONTENTION_DELAY_MS * random());
      return claimed.error.kind === 'lost';
    }
    const { job, index, fencing } = claimed.value;
    journal.record('chunk-claimed', { job: job.id, chunk: index, fencing });
    const run = new ChunkRun(dependencies, claimed.value, () => change.notify());
    // A stop during the claim did not see this run yet, so it is stopped here.
    if (stopping.signal.aborted) run.stop();
    const ended = runChunk(run);
    activeRuns.add(ended);
    void ended.then(() => activeRuns.delete(ended));
    return true;
  };

  const work = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      if (!mayClaim()) {
        await wait(BUSY_POLL_INTERVAL_MS);
      } else if (!(await claimNext())) {
        await wait(withJitter(EMPTY_POLL_INTERVAL_MS));
      }
    }
  };

  return {
    start() {
      loop = work();
    },
    cancelJob({ job }) {
      runs.forEach((run) => {
        if (run.job === job) run.cancel();
      });
    },
    async stop() {
      stopping.abort();
      runs.forEach((run) => run.stop());
      await loop;
      await Promise.all(activeRuns);
    },
  };
};
