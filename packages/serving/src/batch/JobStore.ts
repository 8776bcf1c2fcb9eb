/** Accepts, updates and removes batch jobs in the store, and stores their results. */
import { randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { systemClock, type Clock } from '@jacinthlug/control/time/Clock';
import { err, ok, type Result } from 'neverthrow';
import type { RecordKey, RecordStore, StoreFailure, StoredRecord } from '../store/RecordStore.js';
import type { JobCache, VersionedJob } from './JobCache.js';
import { JobInputs, listInputRows, prepareInput } from './JobInputs.js';
import {
  admissionKey,
  JOBS_TABLE,
  jobKey,
  partitionOf,
  progressKey,
  progressRange,
  resultKey,
  resultRange,
} from './jobKeys.js';
import {
  resultRecord,
  type ItemResult,
  type JobInput,
  type JobRecord,
  type ResultRecord,
} from './JobRecord.js';

/** Time limit for repeating a failed write, before an error is returned. Unit: ms. */
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

/** A batch job as a caller submits it. */
export interface Submission {
  readonly id: string;
  readonly account: string;
  readonly route: string;
  readonly host: string;
  readonly items: JobInput;
  /** Maximum tokens that the account may have waiting on the route; 0 means no limit. */
  readonly waitingTokens: number;
}

/** Dependencies of {@link JobStore}. */
export interface JobStoreDependencies {
  readonly store: RecordStore;
  readonly objects: ObjectStore;
  readonly jobCache: JobCache;
  readonly journal: Journal;
  readonly clock?: Clock;
}

/** A result to be stored. */
export type NewResult = ItemResult & {
  readonly index: number;
  /** Whether the store may hold saved output of the item, which is removed with the write of the result. */
  readonly hasProgress: boolean;
};

const encode = (content: unknown): Buffer => Buffer.from(JSON.stringify(content));

const sameKey = (a: RecordKey, b: RecordKey): boolean =>
  a.table === b.table && a.partition === b.partition && a.key === b.key;

const findRecord = (records: readonly StoredRecord[], key: RecordKey): StoredRecord | undefined =>
  records.find((record) => sameKey(record, key));

export class JobStore {
  /**
   * Last known revisions of the admission rows, by their keys. Every acceptance for an account and route writes their
   * row, so that of two concurrent acceptances one fails and checks the token limit again.
   */
  private readonly admissionRevisions = new Map<string, number>();

  private readonly inputs: JobInputs;

  private readonly clock: Clock;

  constructor(private readonly dependencies: JobStoreDependencies) {
    this.clock = dependencies.clock ?? systemClock;
    this.inputs = new JobInputs(dependencies);
  }

  /**
   * Accepts a batch job. Repeated submissions of the same job are accepted only once.
   *
   * @param submission - the job
   * @param holder - name and incarnation of the host that will run its items; null if any host may take it over
   * @returns nothing if the store holds the complete job, or a refusal
   */
  async accept(
    submission: Submission,
    holder: readonly [string, number] | null,
  ): Promise<Result<void, Refusal>> {
    const { jobCache, objects, store } = this.dependencies;
    const { id, account, route, host, items } = submission;
    const submittedAt = store.now();
    if (submittedAt === undefined) {
      return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
    }
    const deadline = this.clock.now() + COMMIT_RETRY_TIMEOUT_MS;
    const input = prepareInput(account, id, items);
    const record: JobRecord = {
      id,
      account,
      route,
      host,
      submittedAt,
      items: items.map((item) => [item.id, item.tokens]),
      input: input.name,
      holder: holder && [...holder],
      listed: [],
      endedAt: null,
    };
    const key = jobKey(account, id);
    const admission = admissionKey(account, route);
    let isInputStored = false;
    let isOutcomeUnknown = false;
    for (;;) {
      if (jobCache.find(account, id)) return ok(undefined);
      if (this.exceedsTokenLimit(submission)) {
        // A write without a response may still be applied, so the refusal must not promise that nothing runs.
        return err(isOutcomeUnknown ? refuse('deadline-passed') : refuse('job-over-limit'));
      }
      if (input.object && !isInputStored) {
        const put = await objects.put(input.name, input.object);
        if (put.isErr()) return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
        isInputStored = true;
      }
      const written = await store.commit({
        conditions: [
          { ...key, revision: 0 },
          { ...admission, revision: this.admissionRevisions.get(admission.key) ?? 0 },
        ],
        writes: [
          { ...key, value: encode(record) },
          { ...admission, value: encode({ job: id }) },
          ...input.writes,
        ],
      });
      if (written.isOk()) {
        this.inputs.keep(input.name, items);
        this.admissionRevisions.set(admission.key, written.value);
        jobCache.put({ record, revision: written.value });
        return ok(undefined);
      }
      const failure = written.error;
      isOutcomeUnknown ||= failure.kind === 'unknown';
      if (failure.kind === 'conflict') {
        const existing = findRecord(failure.records, key);
        if (existing && jobCache.applyRecord(existing)) return ok(undefined);
        this.admissionRevisions.set(
          admission.key,
          findRecord(failure.records, admission)?.revision ?? 0,
        );
        await this.reloadAccount(account);
      } else if (!isOutcomeUnknown) {
        return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
      } else {
        await this.clock.sleep(RETRY_DELAY_MS);
      }
      if (this.clock.now() > deadline) {
        return err(isOutcomeUnknown ? refuse('deadline-passed') : refuse('platform-unavailable'));
      }
    }
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
   * @returns the job; nothing if there is none; a refusal if the store can't be read
   */
  async find(
    account: string,
    id: string,
    trustCache: boolean,
  ): Promise<Result<VersionedJob | undefined, Refusal>> {
    const { jobCache } = this.dependencies;
    const known = jobCache.find(account, id);
    if (known && trustCache) return ok(known);
    const refreshed = await this.readJob(account, id);
    if (refreshed.isOk()) return ok(refreshed.value);
    return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
  }

  /**
   * Ends a job, so that it gets no further results.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @returns whether there is such a job, or a refusal
   */
  async end(account: string, id: string): Promise<Result<boolean, Refusal>> {
    const changed = await this.update(account, id, (record) =>
      record.endedAt === null
        ? { ...record, endedAt: record.submittedAt + this.ageOf(record) }
        : undefined,
    );
    if (changed.isErr()) {
      return err(
        changed.error.kind === 'unknown'
          ? refuse('deadline-passed')
          : refuse('platform-unavailable'),
      );
    }
    return ok(changed.value !== undefined);
  }

  /**
   * Updates the row of a job with optimistic concurrency. Repeats the write after conflicts, and
   * after other failures until a time limit.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @param edit - returns the new state, or nothing if no change is needed
   * @returns the current state; nothing if there is no such job
   */
  async update(
    account: string,
    id: string,
    edit: (record: JobRecord) => JobRecord | undefined,
  ): Promise<Result<VersionedJob | undefined, StoreFailure>> {
    const { jobCache, store } = this.dependencies;
    const key = jobKey(account, id);
    const deadline = this.clock.now() + COMMIT_RETRY_TIMEOUT_MS;
    let known = jobCache.find(account, id);
    if (!known) {
      const read = await this.readJob(account, id);
      if (read.isErr()) return err(read.error);
      known = read.value;
    }
    for (;;) {
      if (!known) return ok(undefined);
      const next = edit(known.record);
      if (!next) return ok(known);
      const written = await store.commit({
        conditions: [{ ...key, revision: known.revision }],
        writes: [{ ...key, value: encode(next) }],
      });
      if (written.isOk()) return ok(jobCache.put({ record: next, revision: written.value }));
      const failure = written.error;
      if (failure.kind === 'conflict') {
        const current = findRecord(failure.records, key);
        known = current && jobCache.applyRecord(current);
      } else if (this.clock.now() > deadline) {
        return err(failure);
      } else {
        await this.clock.sleep(RETRY_DELAY_MS);
      }
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
    const { record } = job;
    const from = record.listed.length;
    const key = jobKey(record.account, record.id);
    const rows: { key: RecordKey; content: ResultRecord }[] = [];
    for (const [offset, { item, state, text }] of results.entries()) {
      const stored = await this.storeText(item, text);
      if (stored.isErr()) return err(stored.error);
      rows.push({
        key: resultKey(record.account, record.id, from + offset),
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
        .map(({ index }) => progressKey(record.account, record.id, index)),
    });
    if (written.isOk()) return ok(jobCache.put({ record: next, revision: written.value }));
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
   * @returns results in order; not empty if there is a result at this position
   */
  async readResults(job: JobRecord, start: number): Promise<Result<ItemResult[], Refusal>> {
    if (start >= job.listed.length) return ok([]);
    const range = resultRange(job.account, job.id, start, job.listed.length);
    const page = await this.dependencies.store.read(range);
    if (page.isErr()) return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
    const results: ItemResult[] = [];
    let size = 0;
    for (const { value } of page.value.records) {
      const { item, state, text, object } = resultRecord.parse(JSON.parse(value.toString()));
      const content = text ?? (await this.loadText(object));
      if (content === undefined) return err(refuse('platform-unavailable'));
      size += Buffer.byteLength(content);
      if (results.length > 0 && size > MAX_RESPONSE_BYTES) break;
      results.push({ item, state, text: content });
    }
    return ok(results);
  }

  /**
   * Loads the content of a job's items.
   *
   * @param record - the job
   * @returns the items, or a refusal if they can't be loaded
   */
  loadInput(record: JobRecord): Promise<Result<JobInput, Refusal>> {
    return this.inputs.load(record);
  }

  /**
   * Removes the rows of a job, of its results, of its saved outputs and of its input, or the object with its input. Outputs that
   * are stored as objects are not removed.
   *
   * @param job - a job whose retention time has passed
   */
  async remove({ record, revision }: VersionedJob): Promise<void> {
    const { store, objects, jobCache } = this.dependencies;
    const key = jobKey(record.account, record.id);
    const results = record.listed.map((_, position) =>
      resultKey(record.account, record.id, position),
    );
    // Saved outputs remain for items that were never finished, and where a delayed write came after the removal.
    const progress = await store.read(progressRange(record.account, record.id));
    if (progress.isErr()) return;
    const inputRows = listInputRows(record);
    const keys: RecordKey[] = [...results, ...progress.value.records, ...inputRows];
    // The job's row is removed last, so that an incomplete removal is found and repeated.
    for (let start = 0; start < keys.length; start += MAX_REMOVALS_PER_TRANSACTION) {
      const removals = keys.slice(start, start + MAX_REMOVALS_PER_TRANSACTION);
      const part = await store.commit({ conditions: [], writes: [], removals });
      if (part.isErr()) return;
    }
    if (inputRows.length === 0) await objects.remove(record.input);
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

  private exceedsTokenLimit({ account, route, items, waitingTokens: limit }: Submission): boolean {
    if (limit === 0) return false;
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0);
    return this.dependencies.jobCache.countWaitingTokens(account, route) + tokens > limit;
  }

  /** Reloads an account's jobs, after another host has accepted one. */
  private async reloadAccount(account: string): Promise<void> {
    const page = await this.dependencies.store.read({
      table: JOBS_TABLE,
      partition: partitionOf(account),
      // All keys that begin with `account/`, as 0 is the character after the slash.
      from: `${account}/`,
      to: `${account}0`,
    });
    if (page.isOk())
      page.value.records.forEach((record) => this.dependencies.jobCache.applyRecord(record));
  }

  private async readJob(
    account: string,
    id: string,
  ): Promise<Result<VersionedJob | undefined, StoreFailure>> {
    const { table, partition, key } = jobKey(account, id);
    const page = await this.dependencies.store.read({
      table,
      partition,
      // A range that contains only this key.
      from: key,
      to: `${key}\u0001`,
    });
    return page.map(
      ({ records }) => records[0] && this.dependencies.jobCache.applyRecord(records[0]),
    );
  }

  private async storeText(
    item: string,
    text: string,
  ): Promise<Result<Pick<ResultRecord, 'text' | 'object'>, StoreFailure>> {
    if (Buffer.byteLength(JSON.stringify(text)) <= MAX_ROW_TEXT_BYTES) return ok({ text });
    const object = `results-${item}-${randomUUID()}`;
    const put = await this.dependencies.objects.put(object, text);
    if (put.isErr()) return err({ kind: 'unavailable', message: 'object store unavailable' });
    return ok({ object });
  }

  private async loadText(object: string | undefined): Promise<string | undefined> {
    if (object === undefined) return undefined;
    const content = await this.dependencies.objects.get(object);
    return content.isOk() ? content.value.toString() : undefined;
  }
}
