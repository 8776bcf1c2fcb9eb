/** Idle timeout for a target's response. */

/** Monotonic time and timers, replaceable in tests. */
export interface Timers {
  /** Monotonic time. Unit: ms. */
  now(): number;

  /**
   * Schedules one call.
   *
   * @param ms - delay. Unit: ms
   * @param callback - called unless cancelled before
   * @returns function that cancels the call
   */
  after(ms: number, callback: () => void): () => void;

  /**
   * Schedules one call after the bytes that have arrived by now are read.
   *
   * @param callback - called unless cancelled before
   * @returns function that cancels the call
   */
  afterReads(callback: () => void): () => void;
}

/** Timers of the process. */
export const systemTimers: Timers = {
  now: () => performance.now(),
  after(ms, callback) {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
  afterReads(callback) {
    const immediate = setImmediate(callback);
    return () => clearImmediate(immediate);
  },
};

/**
 * Idle timeout of one response. Activity only moves the deadline and sets no new timer, since each stream has dozens
 * of events per second.
 */
export class IdleTimeout {
  private timeoutMs = 0;

  /** Monotonic time at which the timeout expires. Unit: ms. */
  private deadline = Number.POSITIVE_INFINITY;

  private cancelTimer: (() => void) | undefined;

  /**
   * Creates a timeout that is not started.
   *
   * @param onTimeout - called when the timeout expires, and again after each further idle period of that length
   * @param timers - clock and timers
   */
  constructor(
    private readonly onTimeout: () => void,
    private readonly timers: Timers = systemTimers,
  ) {}

  /**
   * Starts or restarts with a timeout.
   *
   * @param timeoutMs - maximum idle time from now on. Unit: ms
   */
  start(timeoutMs: number): void {
    this.timeoutMs = timeoutMs;
    this.recordActivity();
    this.schedule(timeoutMs);
  }

  /** Records activity of the target, which moves the deadline. */
  recordActivity(): void {
    this.deadline = this.timers.now() + this.timeoutMs;
  }

  /** Stops until {@link start} is called again. */
  stop(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  private schedule(ms: number): void {
    this.stop();
    this.cancelTimer = this.timers.after(ms, () => this.check());
  }

  /** Lets bytes be read first: if the process stood still, timers fire before the event loop reads what has arrived. */
  private check(): void {
    if (this.deadline > this.timers.now()) this.scheduleRest();
    else
      this.cancelTimer = this.timers.afterReads(() => {
        if (this.deadline > this.timers.now()) this.scheduleRest();
        else this.expire();
      });
  }

  private scheduleRest(): void {
    this.schedule(this.deadline - this.timers.now());
  }

  private expire(): void {
    this.start(this.timeoutMs);
    this.onTimeout();
  }
}
