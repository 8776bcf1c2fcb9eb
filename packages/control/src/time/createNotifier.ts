/** Lets tasks wait for the next change of a state. */
import type { Clock } from './Clock.js';

/** Wakes tasks that wait for a change. */
export interface Notifier {
  /** Wakes every waiting task. */
  notify(): void;

  /**
   * Waits for the next call of `notify`.
   *
   * @param ms - maximum time to wait. Unit: ms
   */
  wait(ms: number): Promise<void>;
}

/**
 * Creates a notifier.
 *
 * @param clock - clock for the maximum wait
 * @returns the notifier
 */
export const createNotifier = (clock: Clock): Notifier => {
  const waiting = new Set<AbortController>();
  return {
    notify() {
      waiting.forEach((waiter) => waiter.abort());
    },
    async wait(ms) {
      const waiter = new AbortController();
      waiting.add(waiter);
      await clock.sleep(ms, waiter.signal);
      waiting.delete(waiter);
    },
  };
};
