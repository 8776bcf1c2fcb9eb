/** Counts running exchanges and tracks whether the process is stopping. */

/** Phases of a process, in order: `noticed` once a stop is announced, `closed` once new exchanges are refused. */
type Phase = 'serving' | 'noticed' | 'closed';

/** Tracks the running exchanges and the phase of the process. */
export class Lifecycle {
  private phase: Phase = 'serving';

  private running = 0;

  private onIdle: (() => void) | undefined;

  /**
   * Checks whether a stop was announced.
   *
   * @returns whether callers and peers should use another host
   */
  isStopping(): boolean {
    return this.phase !== 'serving';
  }

  /**
   * Counts a new exchange as running.
   *
   * @returns a function to call when the exchange ends; `undefined` if new exchanges are refused
   */
  beginExchange(): (() => void) | undefined {
    if (this.phase === 'closed') return undefined;
    this.running += 1;
    return () => {
      this.running -= 1;
      if (this.running === 0) this.onIdle?.();
    };
  }

  /** Announces that callers and peers should use another host. New exchanges are still accepted. */
  announceStop(): void {
    if (this.phase === 'serving') this.phase = 'noticed';
  }

  /** Refuses new exchanges from now on. */
  refuseNewExchanges(): void {
    this.phase = 'closed';
  }

  /**
   * Returns the number of running exchanges.
   *
   * @returns number of running exchanges
   */
  countRunning(): number {
    return this.running;
  }

  /** Waits until no exchange is running. Call it after {@link refuseNewExchanges}. */
  async waitUntilIdle(): Promise<void> {
    if (this.running === 0) return;
    await new Promise<void>((resolve) => {
      this.onIdle = resolve;
    });
  }
}
