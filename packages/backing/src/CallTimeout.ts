/** Time limit of one call to the platform. */

/** Aborts a call at a deadline that can be moved. */
export class CallTimeout {
  private readonly controller = new AbortController();

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param limitMs - time until the call is aborted. Unit: ms
   */
  constructor(limitMs: number) {
    this.restart(limitMs);
  }

  /** Aborted when the limit has passed. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Sets the time limit anew.
   *
   * @param limitMs - time from now until the call is aborted. Unit: ms
   */
  restart(limitMs: number): void {
    this.clear();
    this.timer = setTimeout(() => this.controller.abort(), limitMs);
  }

  /** Drops the time limit. */
  clear(): void {
    clearTimeout(this.timer);
  }
}
