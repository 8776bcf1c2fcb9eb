/** Virtual time: events run in order of time, and all promises settle between two events. */
import type { Clock } from '../../src/time/Clock.js';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Clock of a process that a test can pause: time advances, but no sleep of the process ends. */
export interface PausableClock extends Clock {
  pause(): void;
  resume(): void;
  /** Stops the process for good, as a crash does: none of its sleeps ends. */
  kill(): void;
}

/** Creates a random number generator from a seed (mulberry32). */
export const createRandom = (seed: number): (() => number) => {
  let state = seed;
  /* eslint-disable no-bitwise -- the generator is defined on 32-bit words */
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
  /* eslint-enable no-bitwise */
};

/** Virtual time of one scenario. */
export class Simulation {
  now = 0;

  readonly random: () => number;

  #events: Event[] = [];

  #order = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
  }

  schedule(delayMs: number, run: () => void): void {
    const event = { at: this.now + Math.max(0, delayMs), order: (this.#order += 1), run };
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.#events[middle]!.at <= event.at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, event);
  }

  /** Waits in virtual time. */
  delay(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(delayMs, resolve);
    });
  }

  /** Runs all events within the given time. */
  async run(durationMs: number): Promise<void> {
    const until = this.now + durationMs;
    for (;;) {
      await new Promise(setImmediate);
      const [next] = this.#events;
      if (!next || next.at > until) break;
      this.#events.shift();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /** Runs events until the promise settles. */
  async runUntilSettled<Value>(promise: Promise<Value>, limitMs = 60_000): Promise<Value> {
    let settled = false;
    void promise.finally(() => {
      settled = true;
    });
    const until = this.now + limitMs;
    while (!settled) {
      if (this.now >= until) throw new Error(`not settled after ${limitMs} ms of virtual time`);
      await this.run(1);
    }
    return promise;
  }

  /** Creates the clock of a process. */
  createClock(): PausableClock {
    let isPaused = false;
    let isDead = false;
    let pending: (() => void)[] = [];
    const resumeSleep = (resume: () => void): void => {
      if (isDead) return;
      if (isPaused) pending.push(resume);
      else resume();
    };
    return {
      now: () => this.now,
      sleep: (ms, signal) =>
        new Promise((resolve) => {
          const end = (): void => {
            signal?.removeEventListener('abort', end);
            resumeSleep(resolve);
          };
          if (signal?.aborted) end();
          else signal?.addEventListener('abort', end);
          this.schedule(ms, end);
        }),
      pause() {
        isPaused = true;
      },
      resume() {
        isPaused = false;
        pending.forEach((resume) => resume());
        pending = [];
      },
      kill() {
        isDead = true;
      },
    };
  }
}
