/** Writes that are repeated until the table tells their outcome. */
import type { Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import type { Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';

/** Time limit of one series of attempts. Unit: ms. */
const RETRY_SERIES_TIMEOUT_MS = 5000;

/** Pause after the first failed series; doubled each time. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 200;

/** Unit: ms. */
const MAX_RETRY_DELAY_MS = 5000;

/** Writes kept at once; beyond that the oldest outcome stays unknown, which is safe. */
const MAX_PENDING_WRITES = 2000;

/** Repeats writes in the background. */
export class BackgroundWrites {
  private readonly pending = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  constructor(private readonly table: Table) {}

  /**
   * Repeats a transaction until its outcome is known.
   *
   * @param writes - the transaction
   * @param token - its token; a later repeat is harmless only when the writes are conditional
   * @returns success or conflict; the last failure when the process stops or too much is pending
   */
  async transactUntilKnown(
    writes: readonly Write[],
    token: string,
  ): Promise<Result<void, TableFailure>> {
    let pauseMs = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      const outcome = await this.table.transactWithRetry(
        writes,
        token,
        performance.now() + RETRY_SERIES_TIMEOUT_MS,
      );
      if (outcome.isOk() || outcome.error.kind === 'conflict') return outcome;
      if (this.stopping.signal.aborted || this.pending.size > MAX_PENDING_WRITES) return outcome;
      await sleep(pauseMs, undefined, { signal: this.stopping.signal }).catch(() => undefined);
      pauseMs = Math.min(MAX_RETRY_DELAY_MS, pauseMs * 2);
    }
  }

  /**
   * Keeps a task until it has ended, so that a stop can wait for it.
   *
   * @param task - work that never rejects
   */
  track(task: Promise<void>): void {
    this.pending.add(task);
    void task.finally(() => this.pending.delete(task));
  }

  /** Waits until nothing is pending. */
  async waitUntilIdle(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  /** Gives up what is pending after its current series. */
  stopRetrying(): void {
    this.stopping.abort();
  }
}
