/** Clock of the batch stores and workers; tests replace it. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Source of time. */
export interface Clock {
  /**
   * Returns the wall-clock time, which may jump and differs between hosts.
   *
   * @returns ms since 1970
   */
  wall(): number;

  /**
   * Returns the monotonic time of this process (`performance.now()`), which advances even while the
   * process is paused.
   *
   * @returns ms
   */
  monotonic(): number;

  /**
   * Waits until a monotonic time.
   *
   * @param deadline - monotonic time. Unit: ms
   * @param signal - ends the wait early
   * @returns a promise that resolves at the deadline or when the signal is aborted; it never rejects
   */
  waitUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}

/** System clock of the process. */
export const systemClock: Clock = {
  wall: () => Date.now(),
  monotonic: () => performance.now(),
  async waitUntil(deadline, signal) {
    const remainingMs = Math.max(0, deadline - performance.now());
    await delay(remainingMs, undefined, signal ? { signal } : {}).catch(() => undefined);
  },
};
