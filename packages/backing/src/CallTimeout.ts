/** Timeout of one call to the platform. */

/** Aborts a call at a deadline that can be moved. */
export class CallTimeout {
  private readonly controller = new AbortController();

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param timeoutMs - time until the call is aborted. Unit: ms
   */
  constructor(timeoutMs: number) {
    this.restart(timeoutMs);
  }

  /** Signal that is aborted when the timeout expires. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Restarts the timeout.
   *
   * @param timeoutMs - time from now until the call is aborted. Unit: ms
   */
  restart(timeoutMs: number): void {
    this.clear();
    this.timer = setTimeout(() => this.controller.abort(), timeoutMs);
  }

  /** Stops the timer; the call is no longer aborted. */
  clear(): void {
    clearTimeout(this.timer);
  }
}
