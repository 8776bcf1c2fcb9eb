/**
 * Tables, partitions and keys of batch jobs, their items and results in the store.
 *
 * Callers choose the ids of jobs, and operators the names of accounts. The key of a job joins both by a separator that is
 * escaped within them, so that the keys of two jobs differ and neither continues the other up to a separator. A name that is
 * too long for a key is replaced by its digest. The keys of the rows of a job's items, results and content continue the
 * job's key by an index.
 *
 * Earlier versions of the host joined the names as they are. A job keeps the key with which it was accepted.
 */
import { createHash } from 'node:crypto';
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

/** Maximum size of a key in the store. Unit: bytes. */
const MAX_KEY_BYTES = 200;

const INDEX_DIGITS = 5;

/** Maximum size of a job's key, which the keys of its rows continue. Unit: bytes. */
const MAX_JOB_KEY_BYTES = MAX_KEY_BYTES - SEPARATOR.length - INDEX_DIGITS;

/** Begins the digest of a name. Escaped names don't contain it. */
const DIGEST_PREFIX = '%~';

/** Size of a digest with its prefix: 32 bytes in base64. Unit: bytes. */
const DIGEST_BYTES = DIGEST_PREFIX.length + 43;

/** Maximum size of an account's name in a key, which leaves room for the digest of an id. Unit: bytes. */
const MAX_ACCOUNT_BYTES = MAX_JOB_KEY_BYTES - SEPARATOR.length - DIGEST_BYTES;

const escapeName = (name: string): string =>
  name.replace(
    ESCAPED_CHARACTERS,
    (character) => `%${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );

const createDigest = (text: string): string =>
  `${DIGEST_PREFIX}${createHash('sha256').update(text).digest('base64url')}`;

/** Escapes a name, or replaces it by its digest if it is too long. */
const shortenName = (name: string, maxBytes: number): string => {
  const escaped = escapeName(name);
  if (Buffer.byteLength(escaped) <= maxBytes) return escaped;
  return createDigest(escaped);
};

/** Replaces a key that is too long by its digest. The end of the range that contains only the key is one byte longer. */
const shortenKey = (key: string): string =>
  Buffer.byteLength(key) < MAX_KEY_BYTES ? key : createDigest(key);

/** How the names in a key are written, by the version of the host that introduced it. */
const keyWriters = {
  /** As they are, so that different names can give the same key, and long ones give a key that is too long. */
  joined: {
    writeAccount: (account: string): string => account,
    writeJob: (job: string): string => job,
  },
  escaped: {
    writeAccount: (account: string): string => shortenName(account, MAX_ACCOUNT_BYTES),
    writeJob: (job: string, account: string): string =>
      shortenName(job, MAX_JOB_KEY_BYTES - Buffer.byteLength(account) - SEPARATOR.length),
  },
} as const;

/** Format of the keys of jobs. */
export type KeyFormat = keyof typeof keyWriters;

/** Formats from the newest to the oldest one. */
export const KEY_FORMATS = ['escaped', 'joined'] as const satisfies readonly KeyFormat[];

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
): RecordKey => {
  const { writeAccount, writeJob } = keyWriters[format];
  const writtenAccount = writeAccount(account);
  return {
    table: JOBS_TABLE,
    partition: partitionOf(account),
    key: `${writtenAccount}${SEPARATOR}${writeJob(job, writtenAccount)}`,
  };
};

/**
 * Lists the keys that a job's row may have. There is one for most names, and otherwise one for each format that has a key
 * for them.
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
  const keys = formats
    .map((format) => jobKey(account, job, format))
    .filter(({ key }) => Buffer.byteLength(key) <= MAX_JOB_KEY_BYTES);
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
  const names = KEY_FORMATS.map((format) => keyWriters[format].writeAccount(account)).filter(
    (name) => Buffer.byteLength(name) < MAX_JOB_KEY_BYTES,
  );
  return [...new Set(names)].map((name) => rangeBelow(JOBS_TABLE, partitionOf(account), name));
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
  key: shortenKey(`${account}${SEPARATOR}${route}`),
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
