/** Stores the content of the items of batch jobs: in rows that are written together with the job, or as an object. */
import { randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { RecordKey, RecordStore, Transaction } from '../store/RecordStore.js';
import { inputKey, inputRange, JOBS_TABLE } from './jobKeys.js';
import { jobInput, type JobInput, type JobRecord } from './JobRecord.js';

/** Size of the content of a row. A row holds 65,536 bytes, which is 49,152 before base64. Unit: bytes. */
const ROW_BYTES = 49_000;

/** Maximum number of rows of an input, as a transaction holds at most 1 MB. A larger input is stored as an object. */
const MAX_ROWS = 8;

/** Maximum number of inputs that are cached in memory. */
const MAX_CACHED_INPUTS = 16;

/** Retry delay while the store can't be read. Unit: seconds. */
const RETRY_SECONDS = 0.5;

/** Names of inputs in rows; the others are names of objects. */
const ROWS_NAME = /^rows-(\d+)-/;

/** An input that is to be stored. */
export interface NewInput {
  /** Identifies the input in the job's row. */
  readonly name: string;
  /** Rows that have to be written together with the job; none if the input is an object. */
  readonly writes: Transaction['writes'];
  /** Content of the object that has to be stored before the job; undefined if the input is in rows. */
  readonly object: Buffer | undefined;
}

/** Identifies a job and its input. */
type StoredJob = Pick<JobRecord, 'account' | 'id' | 'input'>;

const countRows = (name: string): number => Number(ROWS_NAME.exec(name)?.[1] ?? 0);

/**
 * Prepares the input of a job for the store.
 *
 * @param account - name of the account
 * @param job - id of the job
 * @param items - items with their content
 * @returns the input, whose name is unique
 */
export const prepareInput = (account: string, job: string, items: JobInput): NewInput => {
  const content = Buffer.from(JSON.stringify(items));
  const rowCount = Math.ceil(content.length / ROW_BYTES);
  const name = `${JOBS_TABLE}-${job}-${randomUUID()}`;
  if (rowCount > MAX_ROWS) return { name, writes: [], object: content };
  const writes = Array.from({ length: rowCount }, (_, index) => ({
    ...inputKey(account, job, index),
    value: content.subarray(index * ROW_BYTES, (index + 1) * ROW_BYTES),
  }));
  return { name: `rows-${rowCount}-${name}`, writes, object: undefined };
};

/**
 * Lists the rows of an input.
 *
 * @param job - the job
 * @returns keys of the rows; none if the input is an object
 */
export const listInputRows = ({ account, id, input }: StoredJob): RecordKey[] =>
  Array.from({ length: countRows(input) }, (_, index) => inputKey(account, id, index));

/** Dependencies of {@link JobInputs}. */
export interface JobInputsDependencies {
  readonly store: Pick<RecordStore, 'read'>;
  readonly objects: Pick<ObjectStore, 'get'>;
}

/** Loads inputs, of which the latest are kept in memory. */
export class JobInputs {
  private readonly cache = new Map<string, JobInput>();

  constructor(private readonly dependencies: JobInputsDependencies) {}

  /**
   * Keeps an input in memory.
   *
   * @param name - its name
   * @param items - items with their content
   */
  keep(name: string, items: JobInput): void {
    this.cache.set(name, items);
    const [oldest] = this.cache.keys();
    if (this.cache.size > MAX_CACHED_INPUTS && oldest !== undefined) this.cache.delete(oldest);
  }

  /**
   * Loads the input of a job.
   *
   * @param job - the job
   * @returns the items, or a refusal if they can't be loaded
   */
  async load(job: StoredJob): Promise<Result<JobInput, Refusal>> {
    const cached = this.cache.get(job.input);
    if (cached) return ok(cached);
    const content = await this.read(job);
    if (!content) {
      return err(refuse('platform-unavailable', { retryAfterSeconds: RETRY_SECONDS }));
    }
    const input = jobInput.parse(JSON.parse(content.toString()));
    this.keep(job.input, input);
    return ok(input);
  }

  private async read({ account, id, input }: StoredJob): Promise<Buffer | undefined> {
    const { store, objects } = this.dependencies;
    const rowCount = countRows(input);
    if (rowCount === 0) return (await objects.get(input)).unwrapOr(undefined);
    const page = await store.read(inputRange(account, id));
    if (page.isErr() || page.value.records.length < rowCount) return undefined;
    return Buffer.concat(page.value.records.slice(0, rowCount).map(({ value }) => value));
  }
}
