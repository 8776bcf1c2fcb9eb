/** Targets that failed this host lately, and when they may be tried again. */
import type { Journal } from '@jacinthlug/catalog/Journal';

/** First time without new work after a failure, doubled with each further one. Unit: ms. */
const FIRST_PAUSE_MS = 500;

/** Longest time without new work: a crashed target is back after a few seconds. Unit: ms. */
const LONGEST_PAUSE_MS = 4000;

interface Trouble {
  failures: number;
  /** Monotonic time until which the target gets no new work. Unit: ms. */
  pausedUntil: number;
}

/** Keeps the failures of targets. */
export class TargetHealth {
  private readonly troubles = new Map<string, Trouble>();

  constructor(private readonly journal: Journal) {}

  /**
   * Counts a failure: a connection that was refused or broke, or a request without any answer.
   *
   * @param target - identity of the target
   * @param cause - what happened
   * @param now - monotonic time. Unit: ms
   */
  fail(target: string, cause: string, now = performance.now()): void {
    const failures = (this.troubles.get(target)?.failures ?? 0) + 1;
    const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures - 1));
    this.troubles.set(target, { failures, pausedUntil: now + pauseMs });
    this.journal.record('target-paused', { target, cause, failures, pauseMs });
  }

  /**
   * Counts an answer.
   *
   * @param target - identity of the target
   */
  succeed(target: string): void {
    this.troubles.delete(target);
  }

  /**
   * Tells whether a target may get new work.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   * @returns false during its pause
   */
  isUsable(target: string, now = performance.now()): boolean {
    return (this.troubles.get(target)?.pausedUntil ?? 0) <= now;
  }

  /**
   * Lists the targets in a pause, for reports to other hosts.
   *
   * @param now - monotonic time. Unit: ms
   * @returns identities
   */
  paused(now = performance.now()): string[] {
    return [...this.troubles.entries()]
      .filter(([, { pausedUntil }]) => pausedUntil > now)
      .map(([target]) => target);
  }
}
