/** Stores the content of the items of batch jobs: in rows that are written together with the job, or as an object. */
import { randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { err, ok, type Result } from 'neverthrow';
import type { RecordKey, RecordStore } from '../store/RecordStore.js';
import type { VersionedJob } from './JobCache.js';
import { inputKey, inputRange, JOBS_TABLE, selectJobRows } from './jobKeys.js';
import { jobInput, type JobInput } from './JobRecord.js';

/** Size of the content of a row. A row holds 65,536 bytes, which is 49,152 before base64. Unit: bytes. */
const ROW_BYTES = 49_000;

/** Maximum number of rows of an input, as a transaction holds at most 1 MB. A larger input is stored as an object. */
const MAX_ROWS = 8;

/** Maximum number of inputs that are cached in memory. */
const MAX_CACHED_INPUTS = 16;

/** Names of inputs in rows; the others are names of objects. */
const ROWS_NAME = /^rows-(\d+)-/;

/** The input of a job that is to be accepted. */
export interface NewInput {
  /** Identifies the input in the job's row. */
  readonly name: string;
  readonly items: JobInput;
  /** Content of the rows that have to be written together with the job; none if the input is an object. */
  readonly rows: readonly Buffer[];
  /** Content of the object that has to be stored before the job; undefined if the input is in rows. */
  readonly object: Buffer | undefined;
}

const countRows = (name: string): number => Number(ROWS_NAME.exec(name)?.[1] ?? 0);

/**
 * Prepares the input of a job for the store.
 *
 * @param items - items with their content
 * @returns the input, whose name is unique
 */
export const createInput = (items: JobInput): NewInput => {
  const content = Buffer.from(JSON.stringify(items));
  const rowCount = Math.ceil(content.length / ROW_BYTES);
  const name = `${JOBS_TABLE}-${randomUUID()}`;
  if (rowCount > MAX_ROWS) return { name, items, rows: [], object: content };
  const rows = Array.from({ length: rowCount }, (_, index) =>
    content.subarray(index * ROW_BYTES, (index + 1) * ROW_BYTES),
  );
  return { name: `rows-${rowCount}-${name}`, items, rows, object: undefined };
};

/**
 * Lists the rows of an input.
 *
 * @param job - the job
 * @returns keys of the rows; none if the input is an object
 */
export const listInputRows = ({ key, record }: VersionedJob): RecordKey[] =>
  Array.from({ length: countRows(record.input) }, (_, index) => inputKey(key, index));

/** Dependencies of {@link JobInputs}. */
export interface JobInputsDependencies {
  readonly store: Pick<RecordStore, 'read'>;
  readonly objects: Pick<ObjectStore, 'put' | 'get' | 'remove'>;
  readonly journal: Pick<Journal, 'record'>;
}

/** A failure to read or store an input. */
interface InputFailure {
  readonly kind: string;
}

/** Stores and loads inputs, of which the latest are kept in memory. */
export class JobInputs {
  private readonly cache = new Map<string, JobInput>();

  constructor(private readonly dependencies: JobInputsDependencies) {}

  /**
   * Keeps an input in memory, and stores its object if it has one.
   *
   * @param input - the input
   * @param signal - aborted when the caller must get a status
   * @returns nothing, or a failure after which the store may hold the object nevertheless
   */
  async store(
    { name, items, object }: NewInput,
    signal: AbortSignal,
  ): Promise<Result<void, InputFailure>> {
    if (object) {
      const put = await this.dependencies.objects.put(name, object, signal);
      if (put.isErr()) return err(put.error);
    }
    this.keep(name, items);
    return ok(undefined);
  }

  /**
   * Loads the input of a job.
   *
   * @param job - the job
   * @param signal - aborted when a caller must get a status
   * @returns the items, or a failure
   */
  async load(job: VersionedJob, signal?: AbortSignal): Promise<Result<JobInput, InputFailure>> {
    const { input: name } = job.record;
    const cached = this.cache.get(name);
    if (cached) return ok(cached);
    const content = await this.read(job, signal);
    return content.map((bytes) => {
      const input = jobInput.parse(JSON.parse(bytes.toString()));
      this.keep(name, input);
      return input;
    });
  }

  /**
   * Removes the object of an input.
   *
   * @param name - name of the input
   */
  async removeObject(name: string): Promise<void> {
    if (countRows(name) === 0) await this.dependencies.objects.remove(name);
  }

  /**
   * Forgets the input of a job that was not accepted, removes its object, and logs whether that is gone.
   *
   * @param input - the input
   */
  async discard({ name, object }: NewInput): Promise<void> {
    this.cache.delete(name);
    if (!object) return;
    const removed = await this.dependencies.objects.remove(name);
    this.dependencies.journal.record('input-discarded', {
      object: name,
      outcome: removed.isOk() ? 'removed' : removed.error.kind,
    });
  }

  private keep(name: string, items: JobInput): void {
    this.cache.set(name, items);
    const [oldest] = this.cache.keys();
    if (this.cache.size > MAX_CACHED_INPUTS && oldest !== undefined) this.cache.delete(oldest);
  }

  private async read(
    { key, record: { input } }: VersionedJob,
    signal?: AbortSignal,
  ): Promise<Result<Buffer, InputFailure>> {
    const { store, objects } = this.dependencies;
    const rowCount = countRows(input);
    if (rowCount === 0) return objects.get(input, undefined, signal);
    const page = await store.read(inputRange(key), signal);
    if (page.isErr()) return err(page.error);
    const rows = selectJobRows(key, page.value.records).slice(0, rowCount);
    if (rows.length < rowCount) return err({ kind: 'absent' });
    return ok(Buffer.concat(rows.map(({ record: { value } }) => value)));
  }
}
