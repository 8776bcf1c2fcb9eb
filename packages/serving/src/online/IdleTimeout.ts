/** Notices when a target gives no sign for too long. */

/** Monotonic time and timers, replaceable in tests. */
export interface Timers {
  /** Monotonic time. Unit: ms. */
  now(): number;

  /**
   * Calls back once.
   *
   * @param ms - time until then. Unit: ms
   * @param callback - called unless cancelled before
   * @returns cancels the call
   */
  after(ms: number, callback: () => void): () => void;
}

const systemTimers: Timers = {
  now: () => performance.now(),
  after(ms, callback) {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
};

/** Watches one answer. A sign only moves the deadline, as signs come by the dozen a second on each stream. */
export class IdleTimeout {
  private timeoutMs = 0;

  /** Monotonic time at which the silence has been too long. Unit: ms. */
  private deadline = Number.POSITIVE_INFINITY;

  private cancelTimer: (() => void) | undefined;

  /**
   * Creates a watch that has not started.
   *
   * @param onTimeout - called when a silence has been too long, again after each further time of that length
   * @param timers - clock and timers
   */
  constructor(
    private readonly onTimeout: () => void,
    private readonly timers: Timers = systemTimers,
  ) {}

  /**
   * Starts or goes on with a limit.
   *
   * @param limitMs - longest silence from now on. Unit: ms
   */
  start(limitMs: number): void {
    this.timeoutMs = limitMs;
    this.recordActivity();
    this.schedule(limitMs);
  }

  /** Takes a sign of the target. */
  recordActivity(): void {
    this.deadline = this.timers.now() + this.timeoutMs;
  }

  /** Ends the watch, until it is started again. */
  stop(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  private schedule(ms: number): void {
    this.stop();
    this.cancelTimer = this.timers.after(ms, () => this.check());
  }

  private check(): void {
    const leftMs = this.deadline - this.timers.now();
    if (leftMs > 0) {
      this.schedule(leftMs);
      return;
    }
    this.start(this.timeoutMs);
    this.onTimeout();
  }
}
