/** Interface between the agent and its batch worker. */
import type { CancelNotice } from '@jacinthlug/protocol/messages';

/** Runs chunks of batch jobs on the spare capacity of the target. */
export interface BatchWorker {
  /** Starts claiming and running chunks. */
  start(): void;

  /**
   * Stops work on a job immediately.
   *
   * @param notice - the cancelled job
   */
  cancelJob(notice: CancelNotice): void;

  /**
   * Stops claiming chunks, lets running items end, and releases unfinished chunks.
   *
   * @returns a promise that resolves when nothing is running
   */
  stop(): Promise<void>;
}
