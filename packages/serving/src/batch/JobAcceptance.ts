/** Accepts batch jobs: each is written once, under the token limit of its account. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Clock } from '@jacinthlug/control/time/Clock';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { findRecord, rangeOf } from '../store/recordKeys.js';
import type {
  RecordKey,
  RecordStore,
  StoredRecord,
  StoreFailure,
  Transaction,
} from '../store/RecordStore.js';
import type { JobCache } from './JobCache.js';
import { createInput, type JobInputs, type NewInput } from './JobInputs.js';
import { admissionKey, inputKey, listJobKeys, listJobRanges, type KeyFormat } from './jobKeys.js';
import { identifyJob, type JobInput, type JobRecord } from './JobRecord.js';
import type { JobWriter } from './JobWriter.js';
import { refuseUnavailable, refuseUnconfirmed } from './storeRefusals.js';

/**
 * Time for the acceptance of a job whose input is an object. It goes on after its caller got a status, as a repeated submission
 * would have to store the object anew. Unit: ms.
 */
const OBJECT_ACCEPTANCE_MS = 5000;

/** Delay before a write is repeated. Unit: ms. */
const RETRY_DELAY_MS = 100;

/** A batch job as a caller submits it. */
export interface Submission {
  readonly id: string;
  readonly account: string;
  readonly route: string;
  /** Version of the configuration that has the route. */
  readonly configuration: number;
  readonly host: string;
  readonly items: JobInput;
  /** Maximum tokens that the account may have waiting on the route; 0 means no limit. */
  readonly waitingTokens: number;
}

/** Dependencies of {@link JobAcceptance}. */
export interface JobAcceptanceDependencies {
  readonly store: RecordStore;
  readonly jobCache: JobCache;
  readonly clock: Clock;
  readonly inputs: JobInputs;
  readonly writer: JobWriter;
  /** Returns the newest format of keys that all hosts of the fleet support. */
  readonly findKeyFormat: () => KeyFormat;
}

/** A submission on its way to the store. */
interface Attempt {
  readonly submission: Submission;
  readonly record: JobRecord;
  readonly input: NewInput;
  /**
   * Row that every acceptance for the account and route writes, so that of two concurrent acceptances one fails and checks
   * the token limit again.
   */
  readonly admission: RecordKey;
  /** Aborted when the caller must get a status. */
  readonly signal: AbortSignal;
}

/** Keys that a job may have in the store; there is at least one. */
type JobKeys = readonly [RecordKey, ...RecordKey[]];

const encode = (content: unknown): Buffer => Buffer.from(JSON.stringify(content));

/** Refuses a submission at its deadline, without a promise, as its acceptance goes on. */
const refuseOnAbort = (signal: AbortSignal): Promise<Result<void, Refusal>> =>
  new Promise((resolve) => {
    const refuseUnknown = (): void => resolve(err(refuse('deadline-passed')));
    if (signal.aborted) refuseUnknown();
    signal.addEventListener('abort', refuseUnknown, { once: true });
  });

/**
 * Creates the write of a job with its input.
 *
 * @param keys - the key of the job, and those under which it may not be either
 * @param attempt - a submission
 * @param admissionRevision - revision of the admission row up to which jobs are known; undefined if none need be known
 * @returns the transaction
 */
const createTransaction = (
  [key, ...otherKeys]: JobKeys,
  { record, input, admission }: Attempt,
  admissionRevision: number | undefined,
): Transaction => ({
  conditions: [
    ...[key, ...otherKeys].map((each) => ({ ...each, revision: 0 })),
    ...(admissionRevision === undefined ? [] : [{ ...admission, revision: admissionRevision }]),
  ],
  writes: [
    { ...key, value: encode(record) },
    { ...admission, value: encode({ job: record.id }) },
    ...input.rows.map((value, part) => ({ ...inputKey(key, part), value })),
  ],
});

/** Accepts batch jobs. */
export class JobAcceptance {
  constructor(private readonly dependencies: JobAcceptanceDependencies) {}

  /**
   * Accepts a batch job. Repeated submissions of the same job are accepted only once. A refusal at the deadline states that
   * nothing runs only if no write was sent, and then none is sent afterwards.
   *
   * @param submission - the job
   * @param holder - name and incarnation of the host that will run its items; null if any host may take it over
   * @param signal - aborted when the caller must get a status
   * @returns nothing if the store holds the complete job, or a refusal
   */
  async accept(
    submission: Submission,
    holder: readonly [string, number] | null,
    signal: AbortSignal,
  ): Promise<Result<void, Refusal>> {
    const { store, jobCache, inputs } = this.dependencies;
    const { id, account, route, configuration, host, items } = submission;
    if (jobCache.find(account, id)) return ok(undefined);
    const submittedAt = store.now();
    if (submittedAt === undefined || signal.aborted) return err(refuseUnavailable());
    if (this.exceedsTokenLimit(submission)) return err(refuse('job-over-limit'));
    const input = createInput(items);
    const record: JobRecord = {
      id,
      account,
      route,
      configuration,
      host,
      submittedAt,
      items: items.map((item) => [item.id, item.tokens]),
      input: input.name,
      holder: holder && [...holder],
      listed: [],
      endedAt: null,
    };
    const attempt = { submission, record, input, admission: admissionKey(account, route) };
    if (!input.object) return this.write({ ...attempt, signal });
    const limit = AbortSignal.timeout(OBJECT_ACCEPTANCE_MS);
    const accepted = this.write({ ...attempt, signal: limit }).then((result) => {
      if (!this.mayUseInput(record, result)) void inputs.discard(input);
      return result;
    });
    return Promise.race([accepted, refuseOnAbort(signal)]);
  }

  /** Stores the input and reads what the token limit depends on, and writes the job. */
  private async write(attempt: Attempt): Promise<Result<void, Refusal>> {
    const [stored, admitted] = await Promise.all([
      this.dependencies.inputs.store(attempt.input, attempt.signal),
      this.readAdmission(attempt),
    ]);
    if (stored.isErr() || admitted.isErr()) return err(refuseUnavailable());
    return this.writeUntilKnown(attempt, admitted.value);
  }

  /** Repeats the write of a job until its outcome is known, or its caller must get a status. */
  private async writeUntilKnown(
    attempt: Attempt,
    admissionRevision: number | undefined,
  ): Promise<Result<void, Refusal>> {
    const { jobCache, writer, clock } = this.dependencies;
    const { submission, record, signal } = attempt;
    const { account, id } = record;
    // The job is written under the first one, unless there is a row under one of them.
    let keys = listJobKeys(account, id, this.dependencies.findKeyFormat());
    let isOutcomeUnknown = false;
    let revision = admissionRevision;
    for (;;) {
      if (jobCache.find(account, id)) return ok(undefined);
      if (signal.aborted) return err(refuseUnconfirmed(isOutcomeUnknown));
      if (this.exceedsTokenLimit(submission)) {
        // A write without a response may still be applied, so the refusal must not promise that nothing runs.
        return err(isOutcomeUnknown ? refuse('deadline-passed') : refuse('job-over-limit'));
      }
      const [key, ...otherKeys] = keys;
      // Other jobs have all keys that the job could have.
      if (!key) return err(refuseUnconfirmed(isOutcomeUnknown));
      const transaction = createTransaction([key, ...otherKeys], attempt, revision);
      const written = await writer.write(key, record, transaction, signal);
      if (written.isOk()) return ok(undefined);
      const failure = written.error;
      isOutcomeUnknown ||= failure.kind === 'unknown';
      if (failure.kind === 'conflict') {
        const { records } = failure;
        if (keys.some((each) => this.mayBeRowOf(record, findRecord(records, each))))
          return ok(undefined);
        keys = keys.filter((each) => !findRecord(records, each));
        const admitted = await this.readAdmission(attempt);
        if (admitted.isErr()) return err(refuseUnconfirmed(isOutcomeUnknown));
        revision = admitted.value;
      } else if (!isOutcomeUnknown) return err(refuseUnavailable());
      else if (!jobCache.find(account, id)) await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Checks whether a row is that of a job, and applies it. One that can't be read counts as such. */
  private mayBeRowOf({ account, id }: JobRecord, row: StoredRecord | undefined): boolean {
    if (!row) return false;
    const known = this.dependencies.jobCache.applyRecord(row);
    return !known || identifyJob(known.record) === identifyJob({ account, id });
  }

  /** Checks whether the job in the store has the input of this attempt, or may get it. */
  private mayUseInput({ account, id, input }: JobRecord, result: Result<void, Refusal>): boolean {
    const known = this.dependencies.jobCache.find(account, id);
    if (known) return known.record.input === input;
    return result.isErr() && result.error.code === 'deadline-passed';
  }

  private exceedsTokenLimit({ account, route, items, waitingTokens: limit }: Submission): boolean {
    if (limit === 0) return false;
    const tokens = items.reduce((sum, item) => sum + item.tokens, 0);
    return this.dependencies.jobCache.countWaitingTokens(account, route) + tokens > limit;
  }

  /**
   * Reads the revision of the admission row, and all jobs that were accepted up to it.
   *
   * @param attempt - a submission
   * @returns revision of the row; undefined if the account has no limit; a failure if the store can't be read
   */
  private async readAdmission(attempt: Attempt): Promise<Result<number | undefined, StoreFailure>> {
    const { submission, admission, signal } = attempt;
    if (submission.waitingTokens === 0) return ok(undefined);
    const { store, jobCache } = this.dependencies;
    const ranges = listJobRanges(submission.account);
    const [row, jobs] = await Promise.all([
      store.read(rangeOf(admission), signal),
      ResultAsync.combine(ranges.map((range) => store.read(range, signal))),
    ]);
    if (row.isErr()) return err(row.error);
    if (jobs.isErr()) return err(jobs.error);
    jobs.value.forEach(({ records }) => records.forEach((each) => jobCache.applyRecord(each)));
    const revision = findRecord(row.value.records, admission)?.revision ?? 0;
    // Another job was accepted between the reads.
    if (jobs.value.some((page) => revision > page.revision)) return this.readAdmission(attempt);
    return ok(revision);
  }
}
