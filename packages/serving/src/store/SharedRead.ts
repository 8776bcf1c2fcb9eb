/** Shares reads of the store between callers that need a current result. */
import { systemClock } from '@jacinthlug/control/time/Clock';

/** Minimum time between two reads. Unit: ms. */
const READ_INTERVAL_MS = 50;

/** Runs reads that begin after they are asked for, and serves all callers that wait for the same one. */
export class SharedRead {
  private waiting: Promise<boolean> | undefined;

  private readAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a shared read.
   *
   * @param read - reads the store; returns whether it has responded
   */
  constructor(private readonly read: () => Promise<boolean>) {}

  /**
   * Reads the store. A read that is in progress is not enough, as it may not show what was written before this call.
   *
   * @returns whether the store has responded
   */
  run(): Promise<boolean> {
    this.waiting ??= this.runNext();
    return this.waiting;
  }

  private async runNext(): Promise<boolean> {
    await systemClock.sleep(Math.max(0, this.readAt + READ_INTERVAL_MS - performance.now()));
    this.waiting = undefined;
    this.readAt = performance.now();
    return this.read();
  }
}
