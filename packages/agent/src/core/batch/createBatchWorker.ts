/** The batch worker of an agent: claims chunks while the target has spare capacity and runs them. */
import type { FreeChunk, Holder } from '@jacinthlug/batch/ChunkStore';
import type { BatchWorker } from '../BatchWorker.js';
import type { ChunkDependencies } from './ChunkDependencies.js';
import { ChunkRun, type ChunkRunOutcome } from './ChunkRun.js';
import { Notifier } from './Notifier.js';

/** Chunks held at once: the next one fills the slots that the last items of the other leave free. */
const MAX_CHUNKS = 2;

/** Longest wait before another look when there was no free chunk. Unit: ms. */
const EMPTY_POLL_INTERVAL_MS = 5000;

/** Part of a wait that is random, so that agents do not poll together. */
const JITTER_FRACTION = 0.5;

/** Longest wait after a claim that another agent won. Unit: ms. */
const MAX_CONTENTION_DELAY_MS = 1000;

/** Wait before another look while the target has no spare capacity. Unit: ms. */
const BUSY_POLL_INTERVAL_MS = 500;

/** What the batch worker works on. */
export interface BatchWorkerDependencies extends ChunkDependencies {
  readonly holder: Holder;
  /** Random numbers of [0, 1). */
  readonly random: () => number;
}

/**
 * Creates the batch worker of an agent.
 *
 * @param dependencies - target, stores, clock and the identity to claim with
 * @returns the worker; it does nothing before `start`
 */
export const createBatchWorker = (dependencies: BatchWorkerDependencies): BatchWorker => {
  const { target, chunks, clock, holder, random, journal, metrics } = dependencies;
  const stopping = new AbortController();
  const change = new Notifier();
  const runs = new Set<ChunkRun>();
  const ends = new Set<Promise<void>>();
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
    for (const model of target.models()) {
      const free = await chunks.findFree(model);
      if (free.isOk() && free.value) found.push(free.value);
      if (free.isErr()) journal.record('platform-unavailable', { failure: free.error });
    }
    return found.sort((left, right) => left.job.dueAt - right.job.dueAt)[0];
  };

  const reportEnd = (run: ChunkRun, end: ChunkRunOutcome): void => {
    if (end === 'committed') journal.record('chunk-committed', { job: run.job });
    if (end === 'lost') journal.record('chunk-lost', { job: run.job });
  };

  const follow = async (run: ChunkRun): Promise<void> => {
    runs.add(run);
    try {
      reportEnd(run, await run.run());
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
      // Another agent was faster. Agents that meet at a job part again by waiting for random times.
      if (claimed.error.kind === 'lost') await wait(MAX_CONTENTION_DELAY_MS * random());
      return claimed.error.kind === 'lost';
    }
    const { job, index, fencing } = claimed.value;
    journal.record('chunk-claimed', { job: job.id, chunk: index, fencing });
    const run = new ChunkRun(dependencies, claimed.value, () => change.notify());
    // A stop that came during the claim finds no run to stop, so it is passed on here.
    if (stopping.signal.aborted) run.stop();
    const end = follow(run);
    ends.add(end);
    void end.then(() => ends.delete(end));
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
      await Promise.all(ends);
    },
  };
};
