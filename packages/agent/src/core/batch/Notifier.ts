/** Wakes a task when shared state has changed. */

/** Wakes those who wait for a change. */
export class Notifier {
  private wake: (() => void) | undefined;

  private changed = this.renew();

  /**
   * Waits for the next change.
   *
   * @returns when {@link notify} is called next
   */
  next(): Promise<void> {
    return this.changed;
  }

  /** Wakes all who wait. */
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
