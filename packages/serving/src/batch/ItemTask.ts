/** An item of a job that this host holds, from its first run to its result. */
import type { Target } from '../fleet/Target.js';
import type { AttemptOutcome } from '../online/runAttempt.js';
import { ItemResponse } from './ItemResponse.js';
import type { ItemOutput, ItemState, JobItem } from './JobRecord.js';

/** First pause after a run that broke off, doubled with each further one. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 100;

/** Longest pause between runs: an item that breaks its targets must not do so often. Unit: ms. */
const MAX_RETRY_DELAY_MS = 8000;

/** A run in progress. */
export interface ItemRun {
  readonly target: Target;
  readonly controller: AbortController;
  /** Monotonic time. Unit: ms. */
  readonly startedAt: number;
}

/** What a run says about its item. */
type RunOutcome = 'completed' | 'failed' | 'impossible' | 'again';

const outcomesByStatus = new Map<number, RunOutcome>([
  [200, 'completed'],
  [422, 'impossible'],
  [500, 'failed'],
]);

/** One item. */
export class ItemTask {
  response = new ItemResponse();

  run: ItemRun | undefined;

  /** Answers of 500. */
  failures = 0;

  /** Events that the store has. */
  savedEventCount = 0;

  /** Runs that broke off without an event, one after the other. */
  private runsWithoutProgress = 0;

  /** Monotonic time before which the item is not run. Unit: ms. */
  notBefore = 0;

  constructor(
    readonly index: number,
    readonly item: JobItem,
    /** Answers of 500 after which the item is given up. */
    private readonly maxFailures: number,
  ) {}

  /**
   * Goes on from the output of a host that had the job before.
   *
   * @param output - what the store has
   */
  resume(output: ItemOutput): void {
    this.response.resume(output);
    this.savedEventCount = this.response.resumableEventCount;
  }

  /**
   * Tells whether the item waits for a run.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether it may start
   */
  isWaiting(now: number): boolean {
    return this.run === undefined && this.notBefore <= now;
  }

  /**
   * Digests the end of a run.
   *
   * @param end - how it ended
   * @param sizeBefore - events after which the run went on
   * @param now - monotonic time. Unit: ms
   * @returns the final state, or nothing when the item must run again
   */
  finishRun(end: AttemptOutcome, sizeBefore: number, now: number): ItemState | undefined {
    this.run = undefined;
    const verdict = ('status' in end && outcomesByStatus.get(end.status)) || 'again';
    if (verdict === 'completed') return 'completed';
    if (verdict === 'impossible') return 'dead-lettered';
    if (verdict === 'failed') {
      this.failures += 1;
      if (this.failures >= this.maxFailures) return 'dead-lettered';
    }
    if (end.kind === 'given-up') return undefined;
    if (end.kind === 'overlong' || this.response.isTooLarge) this.discardOutput();
    this.runsWithoutProgress =
      this.response.resumableEventCount > sizeBefore ? 0 : this.runsWithoutProgress + 1;
    const pauseMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** this.runsWithoutProgress,
    );
    this.notBefore = now + pauseMs;
    return undefined;
  }

  /** Starts the item anew: what a target has sent cannot be its output. */
  private discardOutput(): void {
    this.response = new ItemResponse();
    this.savedEventCount = 0;
  }
}
