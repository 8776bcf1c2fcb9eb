/** State of an unfinished item of a job that this host holds. */
import { getIncarnation, type Target } from '../fleet/Target.js';
import type { AttemptOutcome } from '../online/runAttempt.js';
import { EndEvidence } from '../streams/EndEvidence.js';
import { ItemResponse } from './ItemResponse.js';
import type { ItemOutput, ItemState, JobItem } from './JobRecord.js';

/** Delay after an unfinished run, doubled for each consecutive run without progress. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 100;

/** Maximum delay between runs. Short, as an item that waits is still owed once its targets are sound again. Unit: ms. */
const MAX_RETRY_DELAY_MS = 2000;

/** A run in progress. */
export interface ItemRun {
  readonly target: Target;
  readonly controller: AbortController;
  /** Monotonic time. Unit: ms. */
  readonly startedAt: number;
}

/** Outcome of a run for its item. */
type RunOutcome = 'completed' | 'failed' | 'impossible' | 'again';

const outcomesByStatus = new Map<number, RunOutcome>([
  [200, 'completed'],
  [422, 'impossible'],
  [500, 'failed'],
]);

export class ItemTask {
  response = new ItemResponse();

  run: ItemRun | undefined;

  /** Number of responses with status 500. */
  failures = 0;

  /** Number of events of the current output in the store. */
  savedEventCount = 0;

  /** Whether the store has an output of the item, which may be an earlier one. */
  hasSavedOutput = false;

  /** Number of consecutive runs without a new resumable event, except those that ended with a crash of the target. */
  private runsWithoutProgress = 0;

  /** Monotonic time at which the output last grew; the start of the task if it has not. Unit: ms. */
  private lastProgressAt = performance.now();

  private readonly endEvidence = new EndEvidence('batch');

  /** Monotonic time before which the item is not run. Unit: ms. */
  notBefore = 0;

  /** Monotonic time since which it waits as free slots are left to the next pulse of online requests. Unit: ms. */
  deferredAt: number | undefined;

  /** Content keys of the item by service. */
  private readonly contentKeys = new Map<string, readonly string[]>();

  constructor(
    readonly index: number,
    readonly item: JobItem,
    /** Number of responses with status 500 after which the item is dead-lettered. */
    private readonly maxFailures: number,
  ) {}

  /**
   * Restores the output that the previous holder saved.
   *
   * @param output - output from the store
   */
  resume(output: ItemOutput): void {
    this.hasSavedOutput = true;
    const { service, version } = output;
    // No target can be told to continue an output whose origin is unknown, as others would add their own output to it.
    if (service === undefined || version === undefined) return;
    this.response.resume(output, { service, version });
    this.savedEventCount = this.response.resumableEventCount;
  }

  /** Restarts the item from the beginning, as its output so far can't be continued. */
  discardOutput(): void {
    this.response = new ItemResponse();
    this.savedEventCount = 0;
    this.endEvidence.reset();
  }

  /**
   * Checks whether the item can be started.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether it isn't running and its retry delay has passed
   */
  isWaiting(now: number): boolean {
    return this.run === undefined && this.notBefore <= now;
  }

  /**
   * Returns how long the output has not grown.
   *
   * @param now - monotonic time. Unit: ms
   * @returns time since then. Unit: ms
   */
  timeSinceProgress(now: number): number {
    return now - this.lastProgressAt;
  }

  /**
   * Records the end of a run. Unless it was cancelled, an unfinished run delays the next one.
   *
   * @param attempt - outcome of the run's request
   * @param eventsBefore - number of resumable events before the run
   * @param now - monotonic time. Unit: ms
   * @returns the final state, or nothing if the item must run again
   */
  finishRun(attempt: AttemptOutcome, eventsBefore: number, now: number): ItemState | undefined {
    const target = this.run && getIncarnation(this.run.target);
    this.run = undefined;
    if (this.response.resumableEventCount > eventsBefore) this.lastProgressAt = now;
    const outcome = ('status' in attempt && outcomesByStatus.get(attempt.status)) || 'again';
    if (outcome === 'completed') {
      const isEndStated = attempt.kind === 'complete' && !attempt.isCloseDelimited;
      if (isEndStated && !this.response.lacksRemovedEvent) return 'completed';
      if (this.response.hasNewEvents) {
        if (this.confirmEnd(target ?? '')) return 'completed';
        this.runsWithoutProgress = 0;
        this.notBefore = now;
        return undefined;
      }
      // A target that crashes after its head sends the same response, so that it confirms no end.
      if (!this.response.removeLastEvent()) this.discardOutput();
    }
    if (attempt.kind === 'broken') this.endEvidence.reset();
    if (outcome === 'impossible') return 'dead-lettered';
    if (outcome === 'failed') {
      this.failures += 1;
      if (this.failures >= this.maxFailures) return 'dead-lettered';
    }
    if (attempt.kind === 'given-up') return undefined;
    if (attempt.kind === 'overlong' || this.response.isTooLarge) this.discardOutput();
    if (this.response.resumableEventCount > eventsBefore) this.runsWithoutProgress = 0;
    // A lost connection says little about one item; the guard against crashing content judges all of them together.
    else if (attempt.kind !== 'broken' || !attempt.connectionLost) this.runsWithoutProgress += 1;
    const delayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      INITIAL_RETRY_DELAY_MS * 2 ** this.runsWithoutProgress,
    );
    this.notBefore = now + delayMs;
    return undefined;
  }

  /**
   * Returns the keys by which content that crashes targets is recognized. They are computed once, as that hashes the body.
   *
   * @param service - name of the service that runs the item
   * @param compute - computes the keys
   * @returns content keys
   */
  getContentKeys(service: string, compute: () => readonly string[]): readonly string[] {
    const keys = this.contentKeys.get(service) ?? compute();
    this.contentKeys.set(service, keys);
    return keys;
  }

  /**
   * Lists the targets that have ended a response with its connection after the last event. Another target should be asked to
   * repeat that event.
   *
   * @returns incarnations of targets
   */
  get endedTargets(): ReadonlySet<string> {
    return this.endEvidence.targets;
  }

  /**
   * Checks whether responses that ended with their connection prove that the output is complete. Unless they do, further
   * events may follow: the next run has to repeat the last event and end there too, which a target that has crashed does not
   * do.
   */
  private confirmEnd(target: string): boolean {
    const { response } = this;
    const { lastEventId, origin } = response;
    this.endEvidence.record({
      position: lastEventId,
      service: origin?.service ?? '',
      version: origin?.version ?? '',
      target,
    });
    if (this.endEvidence.isProven) return true;
    response.removeLastEvent();
    return false;
  }
}
