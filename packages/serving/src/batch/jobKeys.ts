/**
 * Tables, partitions and keys of batch jobs, their items and results in the store.
 *
 * Callers choose the ids of jobs, and operators the names of accounts. The key of a job joins both by a separator that is
 * escaped within them, so that the keys of two jobs differ and neither continues the other up to a separator. The keys of
 * the rows of a job's items, results and content continue the job's key by an index.
 *
 * Earlier versions of the host joined the names as they are. A job keeps the key with which it was accepted.
 */
import { rangeOf } from '../store/recordKeys.js';
import type { RecordKey, RecordRange, StoredRecord } from '../store/RecordStore.js';

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

const SEPARATOR = '/';

/** The character after the separator. */
const AFTER_SEPARATOR = '0';

/** Characters that are escaped in names: the separator, the escape character, and those that not every text can contain. */
const ESCAPED_CHARACTERS = /[/%\p{Cc}\p{Cs}]/gu;

/** How the names in a key are written, by the version of the host that introduced it. */
const writeName = {
  /** As they are, so that different names can give the same key. */
  joined: (name: string): string => name,
  escaped: (name: string): string =>
    name.replace(
      ESCAPED_CHARACTERS,
      (character) => `%${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
    ),
} as const;

/** Format of the keys of jobs. */
export type KeyFormat = keyof typeof writeName;

/** Formats from the newest to the oldest one. */
export const KEY_FORMATS = ['escaped', 'joined'] as const satisfies readonly KeyFormat[];

const INDEX_DIGITS = 5;

const padIndex = (index: number): string => String(index).padStart(INDEX_DIGITS, '0');

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
 * @param format - how the names are written
 * @returns the key
 */
export const jobKey = (
  account: string,
  job: string,
  format: KeyFormat = KEY_FORMATS[0],
): RecordKey => ({
  table: JOBS_TABLE,
  partition: partitionOf(account),
  key: [account, job].map(writeName[format]).join(SEPARATOR),
});

/**
 * Lists the keys that a job's row may have. There is one for most names, and otherwise one for each format.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @param preferred - format whose key comes first
 * @returns different keys
 */
export const listJobKeys = (
  account: string,
  job: string,
  preferred: KeyFormat = KEY_FORMATS[0],
): RecordKey[] => {
  const formats = [preferred, ...KEY_FORMATS.filter((format) => format !== preferred)];
  const keys = formats.map((format) => jobKey(account, job, format));
  return keys.filter(({ key }, index) => keys.findIndex((each) => each.key === key) === index);
};

/** Returns the range of the keys that continue a text by a separator. */
const rangeBelow = (table: string, partition: string, text: string): RecordRange => ({
  table,
  partition,
  from: `${text}${SEPARATOR}`,
  to: `${text}${AFTER_SEPARATOR}`,
});

/**
 * Lists the ranges that contain the rows of an account's jobs. Those of the joined format may contain other jobs too.
 *
 * @param account - name of the account
 * @returns one range for most names, and otherwise one for each format
 */
export const listJobRanges = (account: string): RecordRange[] => {
  const names = new Set(KEY_FORMATS.map((format) => writeName[format](account)));
  return [...names].map((name) => rangeBelow(JOBS_TABLE, partitionOf(account), name));
};

/**
 * Returns the key of the row that is written with each acceptance of an account's job on a route. Accounts and routes
 * whose names join to the same text share a row; their acceptances then conflict, and are repeated.
 *
 * @param account - name of the account
 * @param route - name of the route
 * @returns the key
 */
export const admissionKey = (account: string, route: string): RecordKey => ({
  table: ADMISSIONS_TABLE,
  partition: partitionOf(account),
  key: [account, route].join(SEPARATOR),
});

/** Returns the key of a row that belongs to a job. */
const rowKey = (table: string, { partition, key }: RecordKey, index: number): RecordKey => ({
  table,
  partition,
  key: `${key}${SEPARATOR}${padIndex(index)}`,
});

/**
 * Returns the key of a result's row.
 *
 * @param job - key of the job
 * @param position - position in the job's results
 * @returns the key
 */
export const resultKey = (job: RecordKey, position: number): RecordKey =>
  rowKey(RESULTS_TABLE, job, position);

/**
 * Returns the key of the saved output of an unfinished item.
 *
 * @param job - key of the job
 * @param index - index of the item
 * @returns the key
 */
export const progressKey = (job: RecordKey, index: number): RecordKey =>
  rowKey(PROGRESS_TABLE, job, index);

/**
 * Returns the key of a part of the content of a job's items.
 *
 * @param job - key of the job
 * @param part - index of the part
 * @returns the key
 */
export const inputKey = (job: RecordKey, part: number): RecordKey =>
  rowKey(INPUTS_TABLE, job, part);

/**
 * Returns the key range of the saved outputs of a job's unfinished items.
 *
 * @param job - key of the job
 * @returns the range
 */
export const progressRange = ({ partition, key }: RecordKey): RecordRange =>
  rangeBelow(PROGRESS_TABLE, partition, key);

/**
 * Returns the key range of the content of a job's items.
 *
 * @param job - key of the job
 * @returns the range
 */
export const inputRange = ({ partition, key }: RecordKey): RecordRange =>
  rangeBelow(INPUTS_TABLE, partition, key);

/**
 * Returns the key range of a job's results.
 *
 * @param job - key of the job
 * @param from - first position
 * @param to - first position after the range
 * @returns the range
 */
export const resultRange = (job: RecordKey, from: number, to: number): RecordRange => ({
  ...rangeOf(resultKey(job, from)),
  to: resultKey(job, to).key,
});

/** A row that belongs to a job. */
export interface JobRow {
  /** Position of a result, index of an item, or index of a part of the content. */
  readonly index: number;
  readonly record: StoredRecord;
}

/**
 * Selects the rows that belong to a job. Ranges of jobs whose keys are in the joined format may contain rows of others.
 *
 * @param job - key of the job
 * @param records - records of a range of the job
 * @returns the rows with their indexes, in the same order
 */
export const selectJobRows = (job: RecordKey, records: readonly StoredRecord[]): JobRow[] =>
  records.flatMap((record) => {
    const index = Number(record.key.slice(-INDEX_DIGITS));
    return record.key === `${job.key}${SEPARATOR}${padIndex(index)}` ? [{ index, record }] : [];
  });
