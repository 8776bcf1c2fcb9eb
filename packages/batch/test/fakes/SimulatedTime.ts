/** Simulated time that tests advance, with a clock for each simulated process. */
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { SimulatedClock, type Waiter } from './SimulatedClock.js';

/** Event loop iterations in which pending work can run before time advances. */
const EVENT_LOOP_TURNS = 20;

export class SimulatedTime {
  now = 0;

  private readonly clocks: SimulatedClock[] = [];

  openClock(): SimulatedClock {
    const clock = new SimulatedClock(this);
    this.clocks.push(clock);
    return clock;
  }

  /** Lets pending work run without advancing time. */
  static async settle(): Promise<void> {
    for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) await yieldToEventLoop();
  }

  /** Advances time and fires the due timers of clocks that are not paused, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.now + ms;
    await SimulatedTime.settle();
    for (let next = this.findEarliestWaiter(end); next; next = this.findEarliestWaiter(end)) {
      this.now = Math.max(this.now, next.waiter.deadline);
      next.waiter.wake();
      await SimulatedTime.settle();
    }
    this.now = end;
  }

  private findEarliestWaiter(end: number): { clock: SimulatedClock; waiter: Waiter } | undefined {
    return this.clocks
      .filter(({ paused }) => !paused)
      .flatMap((clock) => [...clock.waiters].map((waiter) => ({ clock, waiter })))
      .filter(({ waiter }) => waiter.deadline <= end)
      .sort((left, right) => left.waiter.deadline - right.waiter.deadline)[0];
  }
}
