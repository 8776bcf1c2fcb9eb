/** Time as batch work sees it; tests replace it. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Source of time. */
export interface Clock {
  /**
   * Gives the wall-clock time, which may jump and differs between hosts.
   *
   * @returns ms since 1970
   */
  wall(): number;

  /**
   * Gives the monotonic time of this process (`performance.now()`), which goes on while it is paused.
   *
   * @returns ms
   */
  monotonic(): number;

  /**
   * Waits until a monotonic time.
   *
   * @param deadline - monotonic time. Unit: ms
   * @param signal - ends the waiting early
   * @returns when the time has come or the signal was aborted; never rejects
   */
  waitUntil(deadline: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the process. */
export const systemClock: Clock = {
  wall: () => Date.now(),
  monotonic: () => performance.now(),
  async waitUntil(deadline, signal) {
    const remainingMs = Math.max(0, deadline - performance.now());
    await delay(remainingMs, undefined, signal ? { signal } : {}).catch(() => undefined);
  },
};
