/** Clock of a simulated process. */
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import type { Clock } from '../../src/Clock.js';

const START_TIME_MS = 1_800_000_000_000;

export interface Waiter {
  readonly deadline: number;
  readonly wake: () => void;
}

export class SimulatedClock implements Clock {
  /** Whether the process is paused or killed: its timers do not fire, but time advances. */
  paused = false;

  readonly waiters = new Set<Waiter>();

  constructor(private readonly time: { now: number }) {}

  wall(): number {
    return START_TIME_MS + this.time.now;
  }

  monotonic(): number {
    return this.time.now;
  }

  waitUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted || deadline <= this.time.now) return yieldToEventLoop();
    return new Promise((resolve) => {
      const waiter: Waiter = {
        deadline,
        wake: () => {
          this.waiters.delete(waiter);
          signal?.removeEventListener('abort', waiter.wake);
          resolve();
        },
      };
      this.waiters.add(waiter);
      signal?.addEventListener('abort', waiter.wake);
    });
  }
}
