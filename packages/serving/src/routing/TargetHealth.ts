/** Tracks recent failures of targets, and decides when a target may receive new work again. */
import type { Journal } from '@jacinthlug/catalog/Journal';

/** Pause without new work after the first failure, doubled with each consecutive one. Unit: ms. */
const INITIAL_PAUSE_MS = 500;

/** Maximum pause without new work. A crashed target is back within a few seconds. Unit: ms. */
const MAX_PAUSE_MS = 4000;

/** Half-life of responses and failures in the failure rate. Unit: ms. */
const HALF_LIFE_MS = 5000;

/** Minimum decayed number of failures for an unreliable target. A single failure is not enough evidence. */
const MIN_UNRELIABLE_FAILURES = 1.5;

/** Minimum failure rate of an unreliable target. */
const MIN_UNRELIABLE_FAILURE_RATE = 0.15;

/**
 * Maximum fraction of targets that are avoided as unreliable. If more were avoided, the others could not carry
 * their load.
 */
const MAX_UNRELIABLE_FRACTION = 1 / 3;

/**
 * Maximum fraction of targets that a host reports as unresponsive. With more, its own network connection is the
 * likelier cause.
 */
const MAX_UNRESPONSIVE_FRACTION = 1 / 2;

/** Causes of failures in which a request waits for the target until a timeout. */
const UNRESPONSIVE_CAUSES: ReadonlySet<string> = new Set([
  'silent',
  'ETIMEDOUT',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface FailureStatistics {
  /** Failures since the latest response. */
  consecutiveFailures: number;
  /** Monotonic time until which the target gets no new work. Unit: ms. */
  pausedUntil: number;
  /** Whether requests waited in vain for the target at the latest failure, with no response since. */
  isUnresponsive: boolean;
  /** Responses and failures, decaying with time. */
  responses: number;
  failures: number;
  /** Monotonic time of the latest decay. Unit: ms. */
  decayedAt: number;
}

const decay = (statistics: FailureStatistics, now: number): FailureStatistics => {
  const factor = 0.5 ** ((now - statistics.decayedAt) / HALF_LIFE_MS);
  return Object.assign(statistics, {
    responses: statistics.responses * factor,
    failures: statistics.failures * factor,
    decayedAt: now,
  });
};

/** Tracks the health of each target from the outcomes of this host's requests. */
export class TargetHealth {
  /** Targets that have failed. An entry is removed with a response after its failures have decayed. */
  private readonly statisticsByTarget = new Map<string, FailureStatistics>();

  private readonly listeners: ((target: string) => void)[] = [];

  constructor(private readonly journal: Journal) {}

  /**
   * Registers a listener for failures.
   *
   * @param listener - called with the identity of the target
   */
  onFailure(listener: (target: string) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Records a failure: a refused or failed connection, a request without a response, or a response that reports a
   * failure of the target.
   *
   * @param target - identity of the target
   * @param cause - kind of failure
   * @param now - monotonic time. Unit: ms
   */
  recordFailure(target: string, cause: string, now = performance.now()): void {
    const existing = this.statisticsByTarget.get(target);
    const statistics = existing
      ? decay(existing, now)
      : {
          consecutiveFailures: 0,
          pausedUntil: 0,
          isUnresponsive: false,
          responses: 0,
          failures: 0,
          decayedAt: now,
        };
    statistics.consecutiveFailures += 1;
    statistics.failures += 1;
    statistics.isUnresponsive = UNRESPONSIVE_CAUSES.has(cause);
    const pauseMs = Math.min(
      MAX_PAUSE_MS,
      INITIAL_PAUSE_MS * 2 ** (statistics.consecutiveFailures - 1),
    );
    statistics.pausedUntil = now + pauseMs;
    this.statisticsByTarget.set(target, statistics);
    this.journal.record('target-paused', {
      target,
      cause,
      failures: statistics.consecutiveFailures,
      pauseMs,
    });
    this.listeners.forEach((listener) => listener(target));
  }

  /**
   * Records a response. It ends a pause, but does not reset the failure rate, as a target may fail only some of its
   * requests.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   */
  recordSuccess(target: string, now = performance.now()): void {
    const statistics = this.statisticsByTarget.get(target);
    if (!statistics) return;
    decay(statistics, now);
    statistics.consecutiveFailures = 0;
    statistics.pausedUntil = 0;
    statistics.isUnresponsive = false;
    statistics.responses += 1;
    if (statistics.failures < 0.1) this.statisticsByTarget.delete(target);
  }

  /**
   * Checks whether a target may receive new work.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   * @returns false during its pause
   */
  isUsable(target: string, now = performance.now()): boolean {
    return (this.statisticsByTarget.get(target)?.pausedUntil ?? 0) <= now;
  }

  /**
   * Checks whether a target has responded, or failed without delay, when it was used last.
   *
   * @param target - identity of the target
   * @returns false if requests waited for it in vain
   */
  isResponsive(target: string): boolean {
    return !this.statisticsByTarget.get(target)?.isUnresponsive;
  }

  /**
   * Finds the targets with too high a failure rate.
   *
   * @param targets - identities of all targets of a service
   * @param now - monotonic time. Unit: ms
   * @returns unreliable targets with the highest failure rates, no more than the other targets can replace
   */
  findUnreliable(targets: readonly string[], now = performance.now()): ReadonlySet<string> {
    if (this.statisticsByTarget.size === 0) return new Set();
    const worst = targets
      .map((target) => ({ target, rate: this.failureRate(target, now) }))
      .filter(({ rate }) => rate >= MIN_UNRELIABLE_FAILURE_RATE)
      .sort((a, b) => b.rate - a.rate)
      .slice(0, Math.floor(targets.length * MAX_UNRELIABLE_FRACTION));
    return new Set(worst.map(({ target }) => target));
  }

  /**
   * Lists the paused targets, which are reported to other hosts as unresponsive.
   *
   * @param targets - number of all targets
   * @param now - monotonic time. Unit: ms
   * @returns identities; empty when so many are paused that this host's own connection is the likelier cause
   */
  findPaused(targets: number, now = performance.now()): string[] {
    const paused = [...this.statisticsByTarget.entries()]
      .filter(([, { pausedUntil }]) => pausedUntil > now)
      .map(([target]) => target);
    return paused.length > targets * MAX_UNRESPONSIVE_FRACTION ? [] : paused;
  }

  private failureRate(target: string, now: number): number {
    const statistics = this.statisticsByTarget.get(target);
    if (!statistics) return 0;
    const { responses, failures } = decay(statistics, now);
    return failures < MIN_UNRELIABLE_FAILURES ? 0 : failures / (responses + failures);
  }
}
