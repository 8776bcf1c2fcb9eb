/** Time limit of one call to the platform. */

/** Aborts a call at a deadline that can be moved. */
export class CallLimit {
  private readonly controller = new AbortController();

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param limitMs - time until the call is aborted. Unit: ms
   */
  constructor(limitMs: number) {
    this.extend(limitMs);
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
  extend(limitMs: number): void {
    this.end();
    this.timer = setTimeout(() => this.controller.abort(), limitMs);
  }

  /** Drops the time limit. */
  end(): void {
    clearTimeout(this.timer);
  }
}
