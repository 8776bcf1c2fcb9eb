/** Wakes tasks when shared state has changed. */

/** Wakes the tasks that wait for a change. */
export class Notifier {
  private wake: (() => void) | undefined;

  private changed = this.renew();

  /**
   * Waits for the next change.
   *
   * @returns a promise that resolves at the next call of {@link notify}
   */
  next(): Promise<void> {
    return this.changed;
  }

  /** Wakes all waiting tasks. */
  notify(): void {
    const { wake } = this;
    this.changed = this.renew();
    wake?.();
  }

  private renew(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }
}
