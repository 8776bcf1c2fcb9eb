/** Accepts, updates and removes batch jobs in the store, and stores their results. */
import { randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import { systemClock, type Clock } from '@jacinthlug/control/time/Clock';
import { err, ok, type Result } from 'neverthrow';
import { findRecord, rangeOf } from '../store/recordKeys.js';
import type {
  RecordKey,
  RecordStore,
  StoredRecord,
  StoreFailure,
  Transaction,
} from '../store/RecordStore.js';
import { JobAcceptance, type Submission } from './JobAcceptance.js';
import type { JobCache, VersionedJob } from './JobCache.js';
import { JobInputs, listInputRows } from './JobInputs.js';
import {
  listJobKeys,
  progressKey,
  progressRange,
  resultKey,
  resultRange,
  selectJobRows,
  type KeyFormat,
} from './jobKeys.js';
import {
  resultRecord,
  type ItemResult,
  type JobInput,
  type JobRecord,
  type ResultRecord,
} from './JobRecord.js';
import { JobWriter } from './JobWriter.js';
import { refuseUnavailable, refuseUnconfirmed } from './storeRefusals.js';

/** Time limit for repeating a failed write that belongs to no caller, before an error is returned. Unit: ms. */
const COMMIT_RETRY_TIMEOUT_MS = 2500;

/** Delay before a write is repeated. Unit: ms. */
const RETRY_DELAY_MS = 100;

/**
 * Maximum size of an output, as a JSON string, that is stored in a row instead of as an object. A row holds 65,536
 * bytes, which is 49,152 before base64, and the JSON around the text takes some of that. Unit: bytes.
 */
const MAX_ROW_TEXT_BYTES = 40_000;

/**
 * Maximum size of the results in one response to a caller, which may have at most 1 MB. A single result is returned
 * whatever its size. Unit: bytes.
 */
const MAX_RESPONSE_BYTES = 900_000;

/** Maximum number of rows removed by one transaction, which holds at most 100 entries. */
const MAX_REMOVALS_PER_TRANSACTION = 90;

/** Dependencies of {@link JobStore}. */
export interface JobStoreDependencies {
  readonly store: RecordStore;
  readonly objects: ObjectStore;
  readonly jobCache: JobCache;
  readonly journal: Journal;
  readonly clock?: Clock;
  /** Returns the newest format of keys that all hosts of the fleet support. */
  readonly findKeyFormat: () => KeyFormat;
}

/** A result to be stored. */
export type NewResult = ItemResult & {
  readonly index: number;
  /** Whether the store may hold saved output of the item, which is removed with the write of the result. */
  readonly hasProgress: boolean;
};

/** Failure of a call before it has sent a write. */
const NOTHING_WRITTEN: StoreFailure = { kind: 'unavailable', message: 'nothing was written' };

const ROW_UNREADABLE: StoreFailure = { kind: 'unavailable', message: 'row is not valid' };

const encode = (content: unknown): Buffer => Buffer.from(JSON.stringify(content));

export class JobStore {
  private readonly inputs: JobInputs;

  private readonly writer: JobWriter;

  private readonly acceptance: JobAcceptance;

  private readonly clock: Clock;

  constructor(private readonly dependencies: JobStoreDependencies) {
    this.clock = dependencies.clock ?? systemClock;
    this.inputs = new JobInputs(dependencies);
    this.writer = new JobWriter(dependencies);
    this.acceptance = new JobAcceptance({
      ...dependencies,
      clock: this.clock,
      inputs: this.inputs,
      writer: this.writer,
    });
  }

  /**
   * Accepts a batch job; see {@link JobAcceptance.accept}.
   *
   * @param submission - the job
   * @param holder - name and incarnation of the host that will run its items; null if any host may take it over
   * @param signal - aborted when the caller must get a status
   * @returns nothing if the store holds the complete job, or a refusal
   */
  accept(
    submission: Submission,
    holder: readonly [string, number] | null,
    signal: AbortSignal,
  ): Promise<Result<void, Refusal>> {
    return this.acceptance.accept(submission, holder, signal);
  }

  /**
   * Returns the time since a job was accepted, by the store's clock.
   *
   * @param record - the job
   * @returns age. Unit: ms
   */
  ageOf({ submittedAt }: JobRecord): number {
    return (this.dependencies.store.now() ?? submittedAt) - submittedAt;
  }

  /**
   * Finds a job in the cache or, if needed, in the store.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @param trustCache - whether the cache is recent enough to be used without reading the store
   * @param signal - aborted when the caller must get a status
   * @returns the job; nothing if there is none; a refusal if the store can't be read
   */
  async find(
    account: string,
    id: string,
    trustCache: boolean,
    signal: AbortSignal,
  ): Promise<Result<VersionedJob | undefined, Refusal>> {
    const { jobCache } = this.dependencies;
    const known = jobCache.find(account, id);
    if (known && trustCache) return ok(known);
    const refreshed = await this.readJob(account, id, signal);
    return refreshed.mapErr(refuseUnavailable);
  }

  /**
   * Ends a job, so that it gets no further results.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @param signal - aborted when the caller must get a status
   * @returns whether there is such a job, or a refusal
   */
  async end(account: string, id: string, signal: AbortSignal): Promise<Result<boolean, Refusal>> {
    const changed = await this.update(
      account,
      id,
      (record) =>
        record.endedAt === null
          ? { ...record, endedAt: record.submittedAt + this.ageOf(record) }
          : undefined,
      signal,
    );
    return changed
      .map((job) => job !== undefined)
      .mapErr(({ kind }) => refuseUnconfirmed(kind === 'unknown'));
  }

  /**
   * Updates the row of a job with optimistic concurrency. Repeats the write after conflicts, and
   * after other failures until a time limit.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @param edit - returns the new state, or nothing if no change is needed
   * @param signal - aborted when a caller must get a status, in place of the time limit
   * @returns the current state; nothing if there is no such job; a failure, for callers of kind `unknown` if a write may
   *   have been applied or may be yet
   */
  async update(
    account: string,
    id: string,
    edit: (record: JobRecord) => JobRecord | undefined,
    signal?: AbortSignal,
  ): Promise<Result<VersionedJob | undefined, StoreFailure>> {
    const { jobCache } = this.dependencies;
    const deadline = this.clock.now() + COMMIT_RETRY_TIMEOUT_MS;
    let known = jobCache.find(account, id);
    if (!known) {
      const read = await this.readJob(account, id, signal);
      if (read.isErr()) return err(NOTHING_WRITTEN);
      known = read.value;
    }
    // Reset when the revision has changed, as earlier writes can't be applied any more.
    let unconfirmed: StoreFailure = NOTHING_WRITTEN;
    for (;;) {
      if (!known) return ok(undefined);
      const next = edit(known.record);
      if (!next) return ok(known);
      if (signal?.aborted) return err(unconfirmed);
      const { key } = known;
      const transaction: Transaction = {
        conditions: [{ ...key, revision: known.revision }],
        writes: [{ ...key, value: encode(next) }],
      };
      const written = await this.writer.write(key, next, transaction, signal);
      if (written.isOk()) return written;
      const failure = written.error;
      if (failure.kind === 'conflict') {
        const current = this.applyRow(findRecord(failure.records, key));
        if (current.isErr()) return err(current.error);
        known = current.value;
        unconfirmed = NOTHING_WRITTEN;
        continue;
      }
      if (failure.kind === 'unknown') unconfirmed = failure;
      if (!signal && this.clock.now() > deadline) return err(failure);
      const { revision } = known;
      known = jobCache.find(account, id) ?? known;
      if (known.revision === revision) await this.clock.sleep(RETRY_DELAY_MS, signal);
      else unconfirmed = NOTHING_WRITTEN;
    }
  }

  /**
   * Appends results to a job. The revision of the job's row fences the write: nothing is appended by a host that is no
   * longer the holder, or after the job has ended.
   *
   * @param job - the job as its holder knows it
   * @param results - results of items that have none yet
   * @returns the current state, with or without the results; a failure if the store did not confirm the write
   */
  async appendResults(
    job: VersionedJob,
    results: readonly NewResult[],
  ): Promise<Result<VersionedJob, StoreFailure>> {
    const { store, jobCache } = this.dependencies;
    const { record, key } = job;
    const from = record.listed.length;
    const rows: { key: RecordKey; content: ResultRecord }[] = [];
    for (const [offset, { item, state, text }] of results.entries()) {
      const stored = await this.storeText(text);
      if (stored.isErr()) return err(stored.error);
      rows.push({
        key: resultKey(key, from + offset),
        content: { item, state, ...stored.value },
      });
    }
    const next: JobRecord = {
      ...record,
      listed: [
        ...record.listed,
        ...results.map(({ index, state }): [number, ItemResult['state']] => [index, state]),
      ],
    };
    const written = await store.commit({
      conditions: [{ ...key, revision: job.revision }],
      writes: [
        { ...key, value: encode(next) },
        ...rows.map((row) => ({ ...row.key, value: encode(row.content) })),
      ],
      removals: results
        .filter(({ hasProgress }) => hasProgress)
        .map(({ index }) => progressKey(key, index)),
    });
    if (written.isOk()) return ok(jobCache.put({ record: next, key, revision: written.value }));
    if (written.error.kind !== 'conflict') return err(written.error);
    const current = findRecord(written.error.records, key);
    const known = current && jobCache.applyRecord(current);
    return known ? ok(known) : err(written.error);
  }

  /**
   * Reads a page of results.
   *
   * @param job - the job
   * @param start - position of the first result
   * @param signal - aborted when the caller must get a status
   * @returns results in order; not empty if there is a result at this position
   */
  async readResults(
    { record: job, key }: VersionedJob,
    start: number,
    signal: AbortSignal,
  ): Promise<Result<ItemResult[], Refusal>> {
    if (start >= job.listed.length) return ok([]);
    const range = resultRange(key, start, job.listed.length);
    const page = await this.dependencies.store.read(range, signal);
    if (page.isErr()) return err(refuseUnavailable());
    const results: ItemResult[] = [];
    let size = 0;
    for (const { record } of selectJobRows(key, page.value.records)) {
      const { item, state, text, object } = resultRecord.parse(JSON.parse(record.value.toString()));
      const content = text ?? (await this.loadText(object, signal));
      if (content === undefined) return results.length > 0 ? ok(results) : err(refuseUnavailable());
      size += Buffer.byteLength(content);
      if (results.length > 0 && size > MAX_RESPONSE_BYTES) break;
      results.push({ item, state, text: content });
    }
    return ok(results);
  }

  /**
   * Loads the content of a job's items.
   *
   * @param job - the job
   * @param signal - aborted when a caller must get a status
   * @returns the items, or a refusal if they can't be loaded
   */
  async loadInput(job: VersionedJob, signal?: AbortSignal): Promise<Result<JobInput, Refusal>> {
    const input = await this.inputs.load(job, signal);
    return input.mapErr(refuseUnavailable);
  }

  /**
   * Removes the rows of a job, of its results, of its saved outputs and of its input, or the object with its input. Outputs that
   * are stored as objects are not removed.
   *
   * @param job - a job whose retention time has passed
   */
  async remove(job: VersionedJob): Promise<void> {
    const { record, key, revision } = job;
    const { store, jobCache } = this.dependencies;
    const results = record.listed.map((_, position) => resultKey(key, position));
    // Saved outputs remain for items that were never finished, and where a delayed write came after the removal.
    const progress = await store.read(progressRange(key));
    if (progress.isErr()) return;
    const outputs = selectJobRows(key, progress.value.records).map(({ index }) =>
      progressKey(key, index),
    );
    const keys: RecordKey[] = [...results, ...outputs, ...listInputRows(job)];
    // The job's row is removed last, so that an incomplete removal is found and repeated.
    for (let start = 0; start < keys.length; start += MAX_REMOVALS_PER_TRANSACTION) {
      const removals = keys.slice(start, start + MAX_REMOVALS_PER_TRANSACTION);
      const part = await store.commit({ conditions: [], writes: [], removals });
      if (part.isErr()) return;
    }
    await this.inputs.removeObject(record.input);
    const removed = await store.commit({
      conditions: [{ ...key, revision }],
      writes: [],
      removals: [key],
    });
    if (removed.isOk()) jobCache.remove(record.account, record.id);
    this.dependencies.journal.record('job-removed', {
      job: record.id,
      outcome: removed.isOk() ? 'removed' : removed.error.kind,
    });
  }

  private async readJob(
    account: string,
    id: string,
    signal?: AbortSignal,
  ): Promise<Result<VersionedJob | undefined, StoreFailure>> {
    for (const key of listJobKeys(account, id)) {
      const page = await this.dependencies.store.read(rangeOf(key), signal);
      const known = page.andThen(({ records }) => this.applyRow(findRecord(records, key)));
      if (known.isErr()) return known;
      // In the joined format, a key may be that of another job.
      if (known.value?.record.account === account && known.value.record.id === id) return known;
    }
    return ok(undefined);
  }

  /** Applies the row of a job, if there is one. One that can't be read is no sign that the job is absent. */
  private applyRow(
    record: StoredRecord | undefined,
  ): Result<VersionedJob | undefined, StoreFailure> {
    if (!record) return ok(undefined);
    const known = this.dependencies.jobCache.applyRecord(record);
    return known ? ok(known) : err(ROW_UNREADABLE);
  }

  private async storeText(
    text: string,
  ): Promise<Result<Pick<ResultRecord, 'text' | 'object'>, StoreFailure>> {
    if (Buffer.byteLength(JSON.stringify(text)) <= MAX_ROW_TEXT_BYTES) return ok({ text });
    const object = `results-${randomUUID()}`;
    const put = await this.dependencies.objects.put(object, text);
    if (put.isErr()) return err({ kind: 'unavailable', message: 'object store unavailable' });
    return ok({ object });
  }

  private async loadText(
    object: string | undefined,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    if (object === undefined) return undefined;
    const content = await this.dependencies.objects.get(object, undefined, signal);
    return content.isOk() ? content.value.toString() : undefined;
  }
}
