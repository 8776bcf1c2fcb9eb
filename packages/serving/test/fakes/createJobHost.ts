/** Creates the parts of a host that store batch jobs. */
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { Clock } from '@jacinthlug/control/time/Clock';
import { JobCache } from '@jacinthlug/serving/batch/JobCache';
import { JOBS_TABLE, type KeyFormat } from '@jacinthlug/serving/batch/jobKeys';
import { JobStore } from '@jacinthlug/serving/batch/JobStore';
import { ProgressStore } from '@jacinthlug/serving/batch/ProgressStore';
import type { MemoryRecordStore } from './MemoryRecordStore.js';

/** The parts of a host that store batch jobs. */
export interface JobHost {
  readonly jobCache: JobCache;
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
}

/** Stores that hosts share, and the clock of one host. */
export interface JobHostDependencies {
  readonly store: MemoryRecordStore;
  readonly objects: ObjectStore;
  readonly clock?: Clock;
}

/**
 * Creates a host whose cache of jobs is empty.
 *
 * @param dependencies - stores and clock
 * @param format - format of the keys that it writes
 * @returns the parts of the host
 */
export const createJobHost = (
  dependencies: JobHostDependencies,
  format: KeyFormat = 'escaped',
): JobHost => {
  const jobCache = new JobCache(silentJournal);
  const all = { ...dependencies, jobCache, journal: silentJournal };
  const jobs = new JobStore({ ...all, findKeyFormat: () => format });
  return { jobCache, jobs, progress: new ProgressStore(all) };
};

/**
 * Applies all job rows that were ever written to the cache of a host.
 *
 * @param store - the store
 * @param jobCache - cache of the host
 */
export const applyJobRows = ({ changes }: MemoryRecordStore, jobCache: JobCache): void =>
  changes.forEach((change) => {
    if (change.kind === 'written' && change.record.table === JOBS_TABLE)
      jobCache.applyRecord(change.record);
  });
