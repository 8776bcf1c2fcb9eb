/** Counts running work and tells whether the process stops. */

/** Phases of the life of a process, in order. */
type Phase = 'serving' | 'noticed' | 'closed';

/** Running work and phase of the process. */
export class Lifecycle {
  private phase: Phase = 'serving';

  private running = 0;

  private onIdle: (() => void) | undefined;

  /**
   * Tells whether the process was told to stop.
   *
   * @returns whether peers should go elsewhere
   */
  isStopping(): boolean {
    return this.phase !== 'serving';
  }

  /**
   * Begins one exchange.
   *
   * @returns a function to be called at its end; nothing when the process takes no new work
   */
  beginExchange(): (() => void) | undefined {
    if (this.phase === 'closed') return undefined;
    this.running += 1;
    return () => {
      this.running -= 1;
      if (this.running === 0) this.onIdle?.();
    };
  }

  /** Tells peers to go elsewhere, while work is still taken. */
  announceStop(): void {
    if (this.phase === 'serving') this.phase = 'noticed';
  }

  /** Takes no new work from now on. */
  refuseNewExchanges(): void {
    this.phase = 'closed';
  }

  /**
   * Gives the number of running exchanges.
   *
   * @returns their number
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
