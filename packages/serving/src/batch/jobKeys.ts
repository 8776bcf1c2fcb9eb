/** Tables, partitions and keys of batch jobs and their results in the store. */
import type { RecordKey, RecordRange } from '../store/RecordStore.js';

/** Table of the jobs; every host follows its changes. */
export const JOBS_TABLE = 'jobs';

const RESULTS_TABLE = 'results';

/** Table of the saved output of unfinished items. */
export const PROGRESS_TABLE = 'progress';

const ADMISSIONS_TABLE = 'admissions';

/** Table of the content of jobs' items. */
export const INPUTS_TABLE = 'inputs';

/** Number of partitions of each table. A partition handles 200 transactions a second. */
const PARTITION_COUNT = 16;

const padIndex = (position: number): string => String(position).padStart(5, '0');

/**
 * Returns the partition of an account's rows. All jobs of an account share it, so that accepting one can be
 * conditional on the account's other acceptances.
 *
 * @param account - name of the account
 * @returns name of the partition
 */
export const partitionOf = (account: string): string => {
  let hash = 0;
  for (let index = 0; index < account.length; index += 1) {
    hash = (hash * 31 + account.charCodeAt(index)) % 65_521;
  }
  return `p${hash % PARTITION_COUNT}`;
};

/**
 * Returns the key of a job's row.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @returns the key
 */
export const jobKey = (account: string, job: string): RecordKey => ({
  table: JOBS_TABLE,
  partition: partitionOf(account),
  key: `${account}/${job}`,
});

/**
 * Returns the key range of an account's jobs.
 *
 * @param account - name of the account
 * @returns the range
 */
export const jobRange = (account: string): RecordRange => ({
  table: JOBS_TABLE,
  partition: partitionOf(account),
  from: `${account}/`,
  // The character after the slash.
  to: `${account}0`,
});

/**
 * Returns the key of the row that is written with each acceptance of an account's job on a route.
 *
 * @param account - name of the account
 * @param route - name of the route
 * @returns the key
 */
export const admissionKey = (account: string, route: string): RecordKey => ({
  table: ADMISSIONS_TABLE,
  partition: partitionOf(account),
  key: `${account}/${route}`,
});

/**
 * Returns the key of a result's row.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @param position - position in the job's results
 * @returns the key
 */
export const resultKey = (account: string, job: string, position: number): RecordKey => ({
  table: RESULTS_TABLE,
  partition: partitionOf(account),
  key: `${account}/${job}/${padIndex(position)}`,
});

/**
 * Returns the key of the saved output of an unfinished item.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @param index - index of the item
 * @returns the key
 */
export const progressKey = (account: string, job: string, index: number): RecordKey => ({
  table: PROGRESS_TABLE,
  partition: partitionOf(account),
  key: `${account}/${job}/${padIndex(index)}`,
});

/**
 * Returns the key range of the saved outputs of a job's unfinished items.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @returns the range
 */
export const progressRange = (account: string, job: string): RecordRange => ({
  table: PROGRESS_TABLE,
  partition: partitionOf(account),
  from: `${account}/${job}/`,
  to: `${account}/${job}0`,
});

/**
 * Returns the key of a part of the content of a job's items.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @param part - index of the part
 * @returns the key
 */
export const inputKey = (account: string, job: string, part: number): RecordKey => ({
  table: INPUTS_TABLE,
  partition: partitionOf(account),
  key: `${account}/${job}/${padIndex(part)}`,
});

/**
 * Returns the key range of the content of a job's items.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @returns the range
 */
export const inputRange = (account: string, job: string): RecordRange => ({
  table: INPUTS_TABLE,
  partition: partitionOf(account),
  from: `${account}/${job}/`,
  to: `${account}/${job}0`,
});

/**
 * Parses the index of an item from the key of its saved output.
 *
 * @param key - key of the row
 * @returns index of the item
 */
export const parseProgressIndex = (key: string): number =>
  Number(key.slice(key.lastIndexOf('/') + 1));

/**
 * Returns the key range of a job's results.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @param from - first position
 * @param to - first position after the range
 * @returns the range
 */
export const resultRange = (
  account: string,
  job: string,
  from: number,
  to: number,
): RecordRange => ({
  table: RESULTS_TABLE,
  partition: partitionOf(account),
  from: resultKey(account, job, from).key,
  to: resultKey(account, job, to).key,
});
