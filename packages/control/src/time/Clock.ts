/** Monotonic time of a process, replaceable in tests. */
import { setTimeout as delay } from 'node:timers/promises';

/** Monotonic time of a process. */
export interface Clock {
  /**
   * Tells the time. It goes on while the process is paused.
   *
   * @returns monotonic time. Unit: ms
   */
  now(): number;

  /**
   * Waits.
   *
   * @param ms - how long
   * @param signal - ends the wait early, without an error
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the process, by `performance.now()`. */
export const systemClock: Clock = {
  now: () => performance.now(),
  async sleep(ms, signal) {
    await delay(Math.max(0, ms), undefined, signal ? { signal } : {}).catch(() => undefined);
  },
};
