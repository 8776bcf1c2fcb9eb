/** Acceptance, end and results of batch jobs in the store. */
import { randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { systemClock, type Clock } from '@jacinthlug/control/time/Clock';
import { err, ok, type Result } from 'neverthrow';
import type { RecordKey, RecordStore, StoreFailure, StoredRecord } from '../store/RecordStore.js';
import type { JobCache, VersionedJob } from './JobCache.js';
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
  jobInput,
  resultRecord,
  type ItemResult,
  type JobInput,
  type JobRecord,
  type ResultRecord,
} from './JobRecord.js';

/** How long a write without an answer is repeated before the caller is told so. Unit: ms. */
const COMMIT_RETRY_TIMEOUT_MS = 2500;

/** Pause before a write is repeated. Unit: ms. */
const RETRY_DELAY_MS = 100;

/**
 * Largest output that is kept in a row. Rows hold 65,536 bytes, which is 49,152 before base64, and the
 * JSON around the text needs some. Unit: bytes.
 */
const MAX_ROW_TEXT_BYTES = 40_000;

/** Results of one answer to a caller, which may be at most 1 MB. Unit: bytes. */
const MAX_RESPONSE_BYTES = 900_000;

/** Rows that one transaction removes; it holds at most 100 entries. */
const REMOVALS_PER_TRANSACTION = 90;

/** Objects with job input that are kept in memory. */
const MAX_CACHED_INPUTS = 16;

/** A batch job as a caller submits it. */
export interface Submission {
  readonly id: string;
  readonly account: string;
  readonly route: string;
  readonly host: string;
  readonly items: JobInput;
  /** Most tokens that the account may have waiting on the route; 0 is no limit. */
  readonly waitingTokens: number;
}

/** What the job store needs. */
export interface JobStoreDependencies {
  readonly store: RecordStore;
  readonly objects: ObjectStore;
  readonly book: JobCache;
  readonly journal: Journal;
  readonly clock?: Clock;
}

/** How a result is written. */
export type NewResult = ItemResult & {
  readonly index: number;
  /** Whether the store may have output of the item from before its end. */
  readonly hasProgress: boolean;
};

const encode = (content: unknown): Buffer => Buffer.from(JSON.stringify(content));

const sameKey = (a: RecordKey, b: RecordKey): boolean =>
  a.table === b.table && a.partition === b.partition && a.key === b.key;

const findRecord = (records: readonly StoredRecord[], key: RecordKey): StoredRecord | undefined =>
  records.find((record) => sameKey(record, key));

/** Keeps batch jobs in the store. */
export class JobStore {
  private readonly admissionRevisions = new Map<string, number>();

  private readonly inputCache = new Map<string, JobInput>();

  private readonly clock: Clock;

  constructor(private readonly dependencies: JobStoreDependencies) {
    this.clock = dependencies.clock ?? systemClock;
  }

  /**
   * Accepts a batch job, once however often it is submitted.
   *
   * @param submission - the job
   * @param holder - name and incarnation of the host that will run its items; absent when any host may take it
   * @returns nothing when the store holds the whole job, or a refusal
   */
  async accept(
    submission: Submission,
    holder: readonly [string, number] | null,
  ): Promise<Result<void, Refusal>> {
    const { book, objects, store } = this.dependencies;
    const { id, account, route, host, items } = submission;
    const submittedAt = store.now();
    if (submittedAt === undefined) {
      return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
    }
    const deadline = this.clock.now() + COMMIT_RETRY_TIMEOUT_MS;
    const input = `${JOBS_TABLE}-${id}-${randomUUID()}`;
    const record: JobRecord = {
      id,
      account,
      route,
      host,
      submittedAt,
      items: items.map((item) => [item.id, item.tokens]),
      input,
      holder: holder && [...holder],
      listed: [],
      endedAt: null,
    };
    const key = jobKey(account, id);
    const admission = admissionKey(account, route);
    let stored = false;
    let unsettled = false;
    for (;;) {
      if (book.find(account, id)) return ok(undefined);
      if (this.exceedsTokenLimit(submission)) {
        // An unanswered write may still be applied, so "not run" could not be promised.
        return err(unsettled ? refuse('deadline-passed') : refuse('job-over-limit'));
      }
      if (!stored) {
        const put = await objects.put(input, encode(items));
        if (put.isErr()) return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
        stored = true;
        this.cacheInput(input, items);
      }
      const written = await store.commit({
        conditions: [
          { ...key, revision: 0 },
          { ...admission, revision: this.admissionRevisions.get(admission.key) ?? 0 },
        ],
        writes: [
          { ...key, value: encode(record) },
          { ...admission, value: encode({ job: id }) },
        ],
      });
      if (written.isOk()) {
        this.admissionRevisions.set(admission.key, written.value);
        book.put({ record, revision: written.value });
        return ok(undefined);
      }
      const failure = written.error;
      unsettled ||= failure.kind === 'unknown';
      if (failure.kind === 'conflict') {
        const existing = findRecord(failure.records, key);
        if (existing && book.applyRecord(existing)) return ok(undefined);
        this.admissionRevisions.set(
          admission.key,
          findRecord(failure.records, admission)?.revision ?? 0,
        );
        await this.reloadAccount(account);
      } else if (!unsettled) {
        return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
      } else {
        await this.clock.sleep(RETRY_DELAY_MS);
      }
      if (this.clock.now() > deadline) {
        return err(unsettled ? refuse('deadline-passed') : refuse('platform-unavailable'));
      }
    }
  }

  /**
   * Tells how long ago a job was accepted, by the store's clock.
   *
   * @param record - the job
   * @returns age. Unit: ms
   */
  ageOf({ submittedAt }: JobRecord): number {
    return (this.dependencies.store.now() ?? submittedAt) - submittedAt;
  }

  /**
   * Finds a job, asking the store when this host does not know it.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @param trustBook - whether this host's knowledge is recent
   * @returns the job; nothing when there is none; a refusal when the store cannot be asked
   */
  async find(
    account: string,
    id: string,
    trustBook: boolean,
  ): Promise<Result<VersionedJob | undefined, Refusal>> {
    const { book } = this.dependencies;
    const known = book.find(account, id);
    if (known && trustBook) return ok(known);
    const refreshed = await this.readJob(account, id);
    if (refreshed.isOk()) return ok(refreshed.value);
    return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
  }

  /**
   * Ends a job.
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
   * Changes the row of a job under the condition that nobody else did, until it succeeds.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @param edit - gives the new state, or nothing when none is needed
   * @returns the state in force; nothing when there is no such job
   */
  async update(
    account: string,
    id: string,
    edit: (record: JobRecord) => JobRecord | undefined,
  ): Promise<Result<VersionedJob | undefined, StoreFailure>> {
    const { book, store } = this.dependencies;
    const key = jobKey(account, id);
    const deadline = this.clock.now() + COMMIT_RETRY_TIMEOUT_MS;
    let known = book.find(account, id);
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
      if (written.isOk()) return ok(book.put({ record: next, revision: written.value }));
      const failure = written.error;
      if (failure.kind === 'conflict') {
        const present = findRecord(failure.records, key);
        known = present && book.applyRecord(present);
      } else if (this.clock.now() > deadline) {
        return err(failure);
      } else {
        await this.clock.sleep(RETRY_DELAY_MS);
      }
    }
  }

  /**
   * Lists results of a job after those that it has. The job's row fences it: whoever is no longer the
   * holder, or whose job has ended, lists nothing.
   *
   * @param job - the job as its holder knows it
   * @param results - results of unlisted items
   * @returns the state in force, with or without the results; a failure when the store did not settle it
   */
  async appendResults(
    job: VersionedJob,
    results: readonly NewResult[],
  ): Promise<Result<VersionedJob, StoreFailure>> {
    const { store, book } = this.dependencies;
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
    if (written.isOk()) return ok(book.put({ record: next, revision: written.value }));
    if (written.error.kind !== 'conflict') return err(written.error);
    const present = findRecord(written.error.records, key);
    const known = present && book.applyRecord(present);
    return known ? ok(known) : err(written.error);
  }

  /**
   * Reads results.
   *
   * @param job - the job
   * @param after - position of the first result
   * @returns results in order, at least one when there is one
   */
  async readResults(job: JobRecord, after: number): Promise<Result<ItemResult[], Refusal>> {
    if (after >= job.listed.length) return ok([]);
    const range = resultRange(job.account, job.id, after, job.listed.length);
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
   * @param name - name of the object
   * @returns the items, or why they cannot be loaded
   */
  async loadInput(name: string): Promise<Result<JobInput, Refusal>> {
    const cached = this.inputCache.get(name);
    if (cached) return ok(cached);
    const object = await this.dependencies.objects.get(name);
    if (object.isErr()) return err(refuse('platform-unavailable', { retryAfterSeconds: 0.5 }));
    const input = jobInput.parse(JSON.parse(object.value.toString()));
    this.cacheInput(name, input);
    return ok(input);
  }

  /**
   * Removes a job with its results and its input.
   *
   * @param job - a job that nobody may read any more
   */
  async remove({ record, revision }: VersionedJob): Promise<void> {
    const { store, objects, book } = this.dependencies;
    const key = jobKey(record.account, record.id);
    const results = record.listed.map((_, position) =>
      resultKey(record.account, record.id, position),
    );
    // Outputs of items that were given up, or that a late write brought back, are still there.
    const progress = await store.read(progressRange(record.account, record.id));
    if (progress.isErr()) return;
    const keys: RecordKey[] = [...results, ...progress.value.records];
    // The job's row goes last, so that a rest is found again.
    for (let start = 0; start < keys.length; start += REMOVALS_PER_TRANSACTION) {
      const removals = keys.slice(start, start + REMOVALS_PER_TRANSACTION);
      const part = await store.commit({ conditions: [], writes: [], removals });
      if (part.isErr()) return;
    }
    await objects.remove(record.input);
    const removed = await store.commit({
      conditions: [{ ...key, revision }],
      writes: [],
      removals: [key],
    });
    if (removed.isOk()) book.remove(record.account, record.id);
    this.dependencies.journal.record('job-removed', {
      job: record.id,
      outcome: removed.isOk() ? 'removed' : removed.error.kind,
    });
  }

  private exceedsTokenLimit({ account, route, items, waitingTokens }: Submission): boolean {
    if (waitingTokens === 0) return false;
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0);
    return this.dependencies.book.countWaitingTokens(account, route) + tokens > waitingTokens;
  }

  /** Reads an account's jobs anew, after another host has accepted one. */
  private async reloadAccount(account: string): Promise<void> {
    const page = await this.dependencies.store.read({
      table: JOBS_TABLE,
      partition: partitionOf(account),
      from: `${account}/`,
      to: `${account}0`,
    });
    if (page.isOk())
      page.value.records.forEach((record) => this.dependencies.book.applyRecord(record));
  }

  private async readJob(
    account: string,
    id: string,
  ): Promise<Result<VersionedJob | undefined, StoreFailure>> {
    const { table, partition, key } = jobKey(account, id);
    const page = await this.dependencies.store.read({
      table,
      partition,
      from: key,
      to: `${key}\u0001`,
    });
    return page.map(({ records }) => records[0] && this.dependencies.book.applyRecord(records[0]));
  }

  private async storeText(
    item: string,
    text: string,
  ): Promise<Result<Pick<ResultRecord, 'text' | 'object'>, StoreFailure>> {
    if (Buffer.byteLength(JSON.stringify(text)) <= MAX_ROW_TEXT_BYTES) return ok({ text });
    const object = `results-${item}-${randomUUID()}`;
    const put = await this.dependencies.objects.put(object, text);
    if (put.isErr()) return err({ kind: 'unavailable', message: 'object store' });
    return ok({ object });
  }

  private async loadText(object: string | undefined): Promise<string | undefined> {
    if (object === undefined) return undefined;
    const content = await this.dependencies.objects.get(object);
    return content.isOk() ? content.value.toString() : undefined;
  }

  private cacheInput(name: string, input: JobInput): void {
    this.inputCache.set(name, input);
    const [oldest] = this.inputCache.keys();
    if (this.inputCache.size > MAX_CACHED_INPUTS && oldest !== undefined)
      this.inputCache.delete(oldest);
  }
}
