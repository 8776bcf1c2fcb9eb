/** Monotonic clock of a process, replaceable in tests. */
import { setTimeout as delay } from 'node:timers/promises';

/** Monotonic clock of a process. */
export interface Clock {
  /**
   * Returns the time. It advances while the process is paused.
   *
   * @returns monotonic time. Unit: ms
   */
  now(): number;

  /**
   * Waits.
   *
   * @param ms - duration. Unit: ms
   * @param signal - ends the wait early, without an error
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the process, based on `performance.now()`. */
export const systemClock: Clock = {
  now: () => performance.now(),
  async sleep(ms, signal) {
    await delay(Math.max(0, ms), undefined, signal ? { signal } : {}).catch(() => undefined);
  },
};
