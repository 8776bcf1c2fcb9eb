/** Table writes that are retried until their outcome is known. */
import type { Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import type { Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';

/** Timeout for one series of attempts. Unit: ms. */
const RETRY_SERIES_TIMEOUT_MS = 5000;

/** Delay after the first failed series; doubled after each further one. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 200;

/** Unit: ms. */
const MAX_RETRY_DELAY_MS = 5000;

/** Maximum number of pending writes; beyond it, outcomes stay unknown, which is safe. */
const MAX_PENDING_WRITES = 2000;

/** Retries writes in the background. */
export class BackgroundWrites {
  private readonly pending = new Set<Promise<void>>();

  private readonly stopping = new AbortController();

  constructor(private readonly table: Table) {}

  /**
   * Retries a transaction until its outcome is known.
   *
   * @param writes - writes of the transaction
   * @param token - idempotency token; a later retry is harmless only if the writes are conditional
   * @returns success or a conflict; the last failure if the process stops or too much is pending
   */
  async transactUntilKnown(
    writes: readonly Write[],
    token: string,
  ): Promise<Result<void, TableFailure>> {
    let delayMs = INITIAL_RETRY_DELAY_MS;
    for (;;) {
      const outcome = await this.table.transactWithRetry(
        writes,
        token,
        performance.now() + RETRY_SERIES_TIMEOUT_MS,
      );
      if (outcome.isOk() || outcome.error.kind === 'conflict') return outcome;
      if (this.stopping.signal.aborted || this.pending.size > MAX_PENDING_WRITES) return outcome;
      await sleep(delayMs, undefined, { signal: this.stopping.signal }).catch(() => undefined);
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    }
  }

  /**
   * Tracks a task until it ends, so that shutdown can wait for it.
   *
   * @param task - promise that never rejects
   */
  track(task: Promise<void>): void {
    this.pending.add(task);
    void task.finally(() => this.pending.delete(task));
  }

  /** Waits until no task is pending. */
  async waitUntilIdle(): Promise<void> {
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  /** Stops the retries of pending writes after their current series. */
  stopRetrying(): void {
    this.stopping.abort();
  }
}
