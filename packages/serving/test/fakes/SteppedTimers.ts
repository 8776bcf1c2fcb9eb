/** Timers that fire only when a test advances the time. */
import type { Timers } from '@jacinthlug/serving/online/IdleTimeout';

interface ScheduledCall {
  readonly at: number;
  readonly callback: () => void;
}

export class SteppedTimers implements Timers {
  private time = 0;

  private readonly scheduledCalls = new Set<ScheduledCall>();

  private readonly callsAfterReads = new Set<() => void>();

  now(): number {
    return this.time;
  }

  after(ms: number, callback: () => void): () => void {
    const call = { at: this.time + ms, callback };
    this.scheduledCalls.add(call);
    return () => this.scheduledCalls.delete(call);
  }

  afterReads(callback: () => void): () => void {
    this.callsAfterReads.add(callback);
    return () => this.callsAfterReads.delete(callback);
  }

  /** Advances the time, and fires each timer when it is due. Nothing arrives meanwhile. */
  advance(ms: number): void {
    const end = this.time + ms;
    for (let next = this.takeDue(end); next; next = this.takeDue(end)) {
      this.time = next.at;
      next.callback();
      this.flushCallsAfterReads();
    }
    this.time = end;
  }

  /**
   * Advances the time as if the process stood still: timers fire late, and before anything is read.
   *
   * @param ms - time for which the process stands still. Unit: ms
   * @param read - reads what has arrived
   */
  stall(ms: number, read: () => void): void {
    this.time += ms;
    for (let next = this.takeDue(this.time); next; next = this.takeDue(this.time)) next.callback();
    read();
    this.flushCallsAfterReads();
  }

  private takeDue(end: number): ScheduledCall | undefined {
    const [next] = [...this.scheduledCalls].sort((a, b) => a.at - b.at);
    if (!next || next.at > end) return undefined;
    this.scheduledCalls.delete(next);
    return next;
  }

  private flushCallsAfterReads(): void {
    const calls = [...this.callsAfterReads];
    this.callsAfterReads.clear();
    calls.forEach((call) => call());
  }
}
