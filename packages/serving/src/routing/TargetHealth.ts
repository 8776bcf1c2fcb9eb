/** Targets that failed this host lately, and when they may be tried again. */
import type { Journal } from '@jacinthlug/catalog/Journal';

/** First time without new work after a failure, doubled with each further one in a row. Unit: ms. */
const INITIAL_PAUSE_MS = 500;

/** Longest time without new work: a crashed target is back after a few seconds. Unit: ms. */
const MAX_PAUSE_MS = 4000;

/** Time after which an answer or a failure counts half in the share of failures. Unit: ms. */
const HALF_LIFE_MS = 5000;

/** Failures lately from which on a target can be unreliable: one alone says little. */
const MIN_UNRELIABLE_FAILURES = 1.5;

/** Share of failures from which on a target is unreliable. */
const MIN_UNRELIABLE_FAILURE_RATE = 0.15;

/** Part of the targets that may be unreliable at once: when more fail, the rest could not carry their work. */
const MAX_UNRELIABLE_FRACTION = 1 / 3;

/** Part of the targets that may be silent for one host before its own connection is the likelier cause. */
const MAX_UNRESPONSIVE_FRACTION = 1 / 2;

interface FailureStatistics {
  /** Failures since the latest answer. */
  streak: number;
  /** Monotonic time until which the target gets no new work. Unit: ms. */
  pausedUntil: number;
  /** Answers and failures, fading with time. */
  answers: number;
  failures: number;
  /** Monotonic time up to which they have faded. Unit: ms. */
  fadedUntil: number;
}

const decay = (trouble: FailureStatistics, now: number): FailureStatistics => {
  const left = 0.5 ** ((now - trouble.fadedUntil) / HALF_LIFE_MS);
  return Object.assign(trouble, {
    answers: trouble.answers * left,
    failures: trouble.failures * left,
    fadedUntil: now,
  });
};

/** Keeps the failures of targets. */
export class TargetHealth {
  /** Targets that failed at least once lately. */
  private readonly statisticsByTarget = new Map<string, FailureStatistics>();

  constructor(private readonly journal: Journal) {}

  /**
   * Counts a failure: a connection that was refused or broke, a request without any answer, or an answer that says
   * that the target failed.
   *
   * @param target - identity of the target
   * @param cause - what happened
   * @param now - monotonic time. Unit: ms
   */
  recordFailure(target: string, cause: string, now = performance.now()): void {
    const known = this.statisticsByTarget.get(target);
    const trouble = known
      ? decay(known, now)
      : { streak: 0, pausedUntil: 0, answers: 0, failures: 0, fadedUntil: now };
    trouble.streak += 1;
    trouble.failures += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** (trouble.streak - 1));
    trouble.pausedUntil = now + pauseMs;
    this.statisticsByTarget.set(target, trouble);
    this.journal.record('target-paused', { target, cause, failures: trouble.streak, pauseMs });
  }

  /**
   * Counts an answer. It ends a pause, but does not outweigh the failures before it: a target may fail a part of its
   * requests only.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   */
  recordSuccess(target: string, now = performance.now()): void {
    const trouble = this.statisticsByTarget.get(target);
    if (!trouble) return;
    decay(trouble, now);
    trouble.streak = 0;
    trouble.pausedUntil = 0;
    trouble.answers += 1;
    if (trouble.failures < 0.1) this.statisticsByTarget.delete(target);
  }

  /**
   * Tells whether a target may get new work.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   * @returns false during its pause
   */
  isUsable(target: string, now = performance.now()): boolean {
    return (this.statisticsByTarget.get(target)?.pausedUntil ?? 0) <= now;
  }

  /**
   * Lists the targets that fail too large a part of their requests.
   *
   * @param targets - identities of all targets of a service
   * @param now - monotonic time. Unit: ms
   * @returns the worst of them, no more than the others can stand in for
   */
  findUnreliable(targets: readonly string[], now = performance.now()): ReadonlySet<string> {
    if (this.statisticsByTarget.size === 0) return new Set();
    const worst = targets
      .map((target) => ({ target, share: this.failureRate(target, now) }))
      .filter(({ share }) => share >= MIN_UNRELIABLE_FAILURE_RATE)
      .sort((a, b) => b.share - a.share)
      .slice(0, Math.floor(targets.length * MAX_UNRELIABLE_FRACTION));
    return new Set(worst.map(({ target }) => target));
  }

  /**
   * Lists the targets in a pause, for reports to other hosts.
   *
   * @param targets - number of all targets
   * @param now - monotonic time. Unit: ms
   * @returns identities; none when so many are silent that this host's own connection is the likelier cause
   */
  findPaused(targets: number, now = performance.now()): string[] {
    const paused = [...this.statisticsByTarget.entries()]
      .filter(([, { pausedUntil }]) => pausedUntil > now)
      .map(([target]) => target);
    return paused.length > targets * MAX_UNRESPONSIVE_FRACTION ? [] : paused;
  }

  private failureRate(target: string, now: number): number {
    const trouble = this.statisticsByTarget.get(target);
    if (!trouble) return 0;
    const { answers, failures } = decay(trouble, now);
    return failures < MIN_UNRELIABLE_FAILURES ? 0 : failures / (answers + failures);
  }
}
