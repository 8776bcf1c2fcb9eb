/** Timers that fire only when a test advances the time. */
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
    const call = { at: this.time + ms, callback };
    this.scheduledCalls.add(call);
    return () => this.scheduledCalls.delete(call);
  }

  /** Advances the time, and fires each timer when it is due. */
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
