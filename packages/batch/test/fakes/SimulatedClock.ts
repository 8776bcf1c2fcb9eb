/** The clock of a simulated process. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Clock } from '../../src/Clock.js';

const START_TIME_MS = 1_800_000_000_000;

export interface Waiter {
  readonly deadline: number;
  readonly wake: () => void;
}

export class SimulatedClock implements Clock {
  /** A paused or killed process: its timers do not fire, while time goes on. */
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
    if (signal?.aborted || deadline <= this.time.now) return nextTurn();
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
