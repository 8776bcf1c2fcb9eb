/** Timers that fire only when a test lets time go on. */
import type { Timers } from '@jacinthlug/serving/online/IdleTimeout';

interface ScheduledCall {
  readonly at: number;
  readonly callback: () => void;
}

export class SteppedTimers implements Timers {
  private time = 0;

  private readonly scheduledCalls = new Set<ScheduledCall>();

  now(): number {
    return this.time;
  }

  after(ms: number, callback: () => void): () => void {
    const planned = { at: this.time + ms, callback };
    this.scheduledCalls.add(planned);
    return () => this.scheduledCalls.delete(planned);
  }

  /** Lets time go on, firing each timer at its time. */
  advance(ms: number): void {
    const end = this.time + ms;
    for (;;) {
      const [next] = [...this.scheduledCalls].sort((a, b) => a.at - b.at);
      if (!next || next.at > end) break;
      this.scheduledCalls.delete(next);
      this.time = next.at;
      next.callback();
    }
    this.time = end;
  }
}
