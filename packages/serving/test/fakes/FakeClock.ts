/** Clock that tests advance explicitly. */
import { setImmediate } from 'node:timers/promises';
import type { Clock } from '@jacinthlug/control/time/Clock';

interface Sleeper {
  readonly until: number;
  readonly wake: () => void;
}

/** Number of event loop turns in which pending promise chains settle. */
const SETTLE_TURNS = 4;

const settle = async (): Promise<void> => {
  for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await setImmediate();
};

export class FakeClock implements Clock {
  private currentMs = 0;

  private sleepers: Sleeper[] = [];

  now(): number {
    return this.currentMs;
  }

  async sleep(ms: number): Promise<void> {
    await new Promise<void>((wake) => {
      this.sleepers.push({ until: this.currentMs + Math.max(0, ms), wake });
    });
  }

  /** Advances the time and wakes each sleeper at its time. */
  async advance(ms: number): Promise<void> {
    const end = this.currentMs + ms;
    await settle();
    for (;;) {
      const next = Math.min(...this.sleepers.map(({ until }) => until));
      if (next > end) break;
      this.currentMs = next;
      const due = this.sleepers.filter(({ until }) => until <= next);
      this.sleepers = this.sleepers.filter(({ until }) => until > next);
      due.forEach(({ wake }) => wake());
      await settle();
    }
    this.currentMs = end;
  }
}
