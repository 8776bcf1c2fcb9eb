/** Tracks the attempts of one request. */
import { getIncarnation, type Target } from '../fleet/Target.js';
import type { CandidateCounts } from '../routing/chooseTarget.js';
import { EndEvidence } from '../streams/EndEvidence.js';
import type { AttemptOutcome } from './runAttempt.js';

/** An attempt with which the response may be complete. */
export interface CompletedAttempt {
  readonly attempt: Extract<AttemptOutcome, { kind: 'complete' }>;
  readonly target: Target;
  /** Whether the response may end there without a confirmation. */
  readonly canEnd: boolean;
}

/** Tracks the attempts of one request. */
export class RequestProgress {
  /** Ids of targets that failed the request. */
  readonly excludedTargets = new Set<string>();

  /** Those among them that may serve the request a moment later. */
  private readonly recoveringTargets = new Set<string>();

  /** Ids of targets that may have run the request. */
  private readonly runTargets = new Set<string>();

  /** Ids of targets that were left while they were silent, and to which the request may return. */
  private readonly leftTargets = new Set<string>();

  /** Ids of targets to which the request has returned. */
  private readonly returnedTargets = new Set<string>();

  /** Number of attempts in which the target may have run the request. */
  possibleRuns = 0;

  /** Number of these attempts that the target failed. */
  private failedRuns = 0;

  attempts = 0;

  /** Time in the queue of the host. Unit: ms. */
  queuedMs = 0;

  /** Version of the targets that can continue the stream; undefined while none has begun. */
  version: string | undefined;

  /** What the ends of responses prove about the end of the stream. */
  readonly endEvidence = new EndEvidence('online');

  /** Attempt with which the response is complete, unless the next target has further events. */
  unconfirmedEnd: CompletedAttempt | undefined;

  /** Targets at the moment when none could be used. */
  unavailable: CandidateCounts | undefined;

  /** Records that a target of this version has begun the stream, unless the version is known. */
  beginStream(version: string): void {
    this.version ??= version;
  }

  /** Records that the response is complete, unless the next target has further events; undefined if it had some. */
  recordUnconfirmedEnd(completed: CompletedAttempt | undefined): void {
    this.unconfirmedEnd = completed;
  }

  /**
   * Records where a complete response has ended.
   *
   * @param target - its target
   * @param position - number of events of the stream
   */
  recordEnd(target: Target, position: number): void {
    const { service } = target;
    // The end is confirmed only by targets that can continue the stream, so that their versions don't differ.
    this.endEvidence.record({ position, service, version: '', target: getIncarnation(target) });
  }

  /** Records that a target failed the request, but may serve it a moment later. */
  recordRecovering(target: string): void {
    this.recoveringTargets.add(target);
  }

  /**
   * Readmits the targets that may serve the request by now.
   *
   * @returns whether there are any
   */
  readmitRecovering(): boolean {
    const hasAny = this.recoveringTargets.size > 0;
    this.recoveringTargets.forEach((target) => this.excludedTargets.delete(target));
    this.recoveringTargets.clear();
    return hasAny;
  }

  /** Records a wait in the queue of the host. Unit: ms. */
  recordQueued(ms: number): void {
    this.queuedMs += ms;
  }

  /** Records the targets of a request for which none could be used. */
  recordNoTarget(counts: CandidateCounts): void {
    this.unavailable = counts;
  }

  countAttempt(): void {
    this.attempts += 1;
  }

  /**
   * Records that a target may have run the request.
   *
   * @param target - id of the target
   * @param hasFailed - whether the target failed the request; false if it was complete or only silent
   */
  recordPossibleRun(target: string, hasFailed: boolean): void {
    this.possibleRuns += 1;
    this.runTargets.add(target);
    if (hasFailed) this.failedRuns += 1;
  }

  /**
   * Checks whether the request may run at a target to which it has not been sent yet.
   *
   * @param maxTargets - maximum number of targets that may run the request, and of runs that may fail
   * @returns whether a further target is allowed
   */
  mayRunFurther(maxTargets: number): boolean {
    return this.runTargets.size < maxTargets && this.failedRuns < maxTargets;
  }

  /**
   * Checks the same for the time after an attempt in progress.
   *
   * @param target - id of the attempt's target
   * @param hasFailed - whether the target fails the request, see {@link recordPossibleRun}
   * @param maxTargets - maximum number of targets that may run the request, and of runs that may fail
   * @returns whether a further target is allowed then
   */
  mayRunFurtherAfter(target: string, hasFailed: boolean, maxTargets: number): boolean {
    const targets = this.runTargets.size + (this.runTargets.has(target) ? 0 : 1);
    const failures = this.failedRuns + (hasFailed ? 1 : 0);
    return targets < maxTargets && failures < maxTargets;
  }

  /**
   * Checks whether the request has returned to a target, which it doesn't leave a second time.
   *
   * @param target - id of the target
   * @returns whether it has
   */
  hasReturnedTo(target: string): boolean {
    return this.returnedTargets.has(target);
  }

  /** Records that the request may return to a target: it was silent, or has rejected the return. */
  recordLeft(target: string): void {
    this.leftTargets.add(target);
  }

  /** Records that the request returns to a target that it has left. */
  recordReturn(target: string): void {
    this.leftTargets.delete(target);
    this.returnedTargets.add(target);
  }

  /**
   * Lists the targets to which the request may return.
   *
   * @returns ids, in the order in which the request has left them
   */
  get returnableTargets(): readonly string[] {
    return [...this.leftTargets];
  }
}
