/** What the agent needs from its batch worker. */
import type { CancelNotice } from '@jacinthlug/protocol/messages';

/** Runs chunks of batch jobs on the spare capacity of the target. */
export interface BatchWorker {
  /** Starts the task that claims and runs chunks. */
  start(): void;

  /**
   * Stops work on a job at once.
   *
   * @param notice - the cancelled job
   */
  cancelJob(notice: CancelNotice): void;

  /**
   * Claims no more, ends running items, releases unfinished chunks.
   *
   * @returns when nothing runs any more
   */
  stop(): Promise<void>;
}
