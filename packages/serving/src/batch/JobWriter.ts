/** Writes the rows of batch jobs for callers, which wait for a limited time, and for background work. */
import { err, type Result } from 'neverthrow';
import type { RecordKey, RecordStore, StoreFailure, Transaction } from '../store/RecordStore.js';
import type { JobCache, VersionedJob } from './JobCache.js';
import type { JobRecord } from './JobRecord.js';

/** Time without a response after which a write for a caller is sent again, while the first one goes on. Unit: ms. */
const SILENT_WRITE_MS = 2000;

/** Time for the response to a write after the job has changed in the cache, which is mostly because of it. Unit: ms. */
const RESPONSE_AFTER_CHANGE_MS = 50;

/** Failure of a write that goes on. */
const NO_RESPONSE: StoreFailure = { kind: 'unknown', message: 'no response yet' };

/** Dependencies of {@link JobWriter}. */
export interface JobWriterDependencies {
  readonly store: RecordStore;
  readonly jobCache: JobCache;
}

/** Writes the rows of jobs. */
export class JobWriter {
  constructor(private readonly dependencies: JobWriterDependencies) {}

  /**
   * Writes the row of a job. For a caller, it waits no longer than until the job changes in the cache, which may show that
   * the write was applied, nor for long without a response, as a repeat may get through. The write goes on nevertheless,
   * until the signal is aborted.
   *
   * @param key - key of the job's row
   * @param record - the job as it is written
   * @param transaction - the write
   * @param signal - aborted when a caller must get a status; absent for background work
   * @returns the job as it is known after the write, or a failure
   */
  async write(
    key: RecordKey,
    record: JobRecord,
    transaction: Transaction,
    signal?: AbortSignal,
  ): Promise<Result<VersionedJob, StoreFailure>> {
    const { store, jobCache } = this.dependencies;
    const waiting = new AbortController();
    const written = store.commit(transaction, signal).map((revision) => {
      // The change of the cache that follows is no reason to stop waiting.
      waiting.abort();
      return jobCache.put({ record, key, revision });
    });
    if (!signal) return written;
    try {
      return await Promise.race([
        written,
        this.waitWithoutResponse(record, signal, waiting.signal),
      ]);
    } finally {
      waiting.abort();
    }
  }

  /** Waits for a reason not to wait for a response any more. */
  private waitWithoutResponse(
    { id, account }: JobRecord,
    callerSignal: AbortSignal,
    ended: AbortSignal,
  ): Promise<Result<VersionedJob, StoreFailure>> {
    return new Promise((resolve) => {
      const end = (): void => resolve(err(NO_RESPONSE));
      const timers = [setTimeout(end, SILENT_WRITE_MS)];
      const removeListener = this.dependencies.jobCache.onChange(({ record }) => {
        if (record.id === id && record.account === account)
          timers.push(setTimeout(end, RESPONSE_AFTER_CHANGE_MS));
      });
      callerSignal.addEventListener('abort', end, { signal: ended });
      ended.addEventListener('abort', () => {
        timers.forEach(clearTimeout);
        removeListener();
      });
    });
  }
}
