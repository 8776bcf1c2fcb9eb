/** Keys of the table rows of the batch stores. */
import type { RowKey } from '@jacinthlug/backing/Table';

const TIME_DIGITS = 14;
const CHUNK_DIGITS = 6;

/** Prefix of the sort keys of chunk rows. */
export const CHUNK_PREFIX = 'chunk#';

/** Prefix of the sort keys in an account's list of jobs. */
export const ACCOUNT_JOB_PREFIX = 'job#';

/** Prefix of the sort keys in an account's list of files. */
export const ACCOUNT_FILE_PREFIX = 'file#';

const formatTime = (time: number): string => String(Math.floor(time)).padStart(TIME_DIGITS, '0');

/**
 * Formats a chunk index with leading zeros, so that the texts sort like the numbers.
 *
 * @param index - index of the chunk, from 0
 * @returns six digits
 */
export const formatChunkIndex = (index: number): string =>
  String(index).padStart(CHUNK_DIGITS, '0');

/** Partition of a job, which contains the job row and the chunk rows. */
export const jobPartition = (job: string): string => `job#${job}`;

/** Partition of the queue of a model. */
export const queuePartition = (model: string): string => `queue#${model}`;

/** Partition of an account, which contains its lists of jobs and files. */
export const accountPartition = (account: string): string => `account#${account}`;

/** Key of a job row. */
export const jobKey = (job: string): RowKey => ({ pk: jobPartition(job), sk: 'job' });

/** Key of a chunk row. */
export const chunkKey = (job: string, index: number): RowKey => ({
  pk: jobPartition(job),
  sk: `${CHUNK_PREFIX}${formatChunkIndex(index)}`,
});

/** Key of the queue row of a job; queue rows sort by due time. */
export const queueKey = (model: string, dueAt: number, job: string): RowKey => ({
  pk: queuePartition(model),
  sk: `${formatTime(dueAt)}#${job}`,
});

/** Parses the due time of a queue row. */
export const parseDueAt = ({ sk }: RowKey): number => Number(sk.slice(0, TIME_DIGITS));

/** Key of a job in the list of its account. */
export const accountJobKey = (account: string, createdAt: number, job: string): RowKey => ({
  pk: accountPartition(account),
  sk: `${ACCOUNT_JOB_PREFIX}${formatTime(createdAt)}#${job}`,
});

/** Key of the row that maps a repeated submission to its job. */
export const submissionKey = (account: string, identity: string): RowKey => ({
  pk: accountPartition(account),
  sk: `resend#${identity}`,
});

/** Key of a file row. */
export const fileKey = (file: string): RowKey => ({ pk: `file#${file}`, sk: 'file' });

/** Key of a file in the list of its account. */
export const accountFileKey = (account: string, createdAt: number, file: string): RowKey => ({
  pk: accountPartition(account),
  sk: `${ACCOUNT_FILE_PREFIX}${formatTime(createdAt)}#${file}`,
});
