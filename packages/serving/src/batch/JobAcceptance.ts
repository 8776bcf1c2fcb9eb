/** Accepts batch jobs: each is written once, under the token limit of its account. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Clock } from '@jacinthlug/control/time/Clock';
import { err, ok, type Result } from 'neverthrow';
import { findRecord, rangeOf } from '../store/recordKeys.js';
import type { RecordKey, RecordStore, StoreFailure, Transaction } from '../store/RecordStore.js';
import type { JobCache } from './JobCache.js';
import { createInput, type JobInputs, type NewInput } from './JobInputs.js';
import { admissionKey, jobKey, jobRange } from './jobKeys.js';
import type { JobInput, JobRecord } from './JobRecord.js';
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
 * @param attempt - a submission
 * @param admissionRevision - revision of the admission row up to which jobs are known; undefined if none need be known
 * @returns the transaction
 */
const createTransaction = (
  { record, input, admission }: Attempt,
  admissionRevision: number | undefined,
): Transaction => {
  const key = jobKey(record.account, record.id);
  return {
    conditions: [
      { ...key, revision: 0 },
      ...(admissionRevision === undefined ? [] : [{ ...admission, revision: admissionRevision }]),
    ],
    writes: [
      { ...key, value: encode(record) },
      { ...admission, value: encode({ job: record.id }) },
      ...input.writes,
    ],
  };
};

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
    const input = createInput(account, id, items);
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
    let isOutcomeUnknown = false;
    let revision = admissionRevision;
    for (;;) {
      if (jobCache.find(account, id)) return ok(undefined);
      if (signal.aborted) return err(refuseUnconfirmed(isOutcomeUnknown));
      if (this.exceedsTokenLimit(submission)) {
        // A write without a response may still be applied, so the refusal must not promise that nothing runs.
        return err(isOutcomeUnknown ? refuse('deadline-passed') : refuse('job-over-limit'));
      }
      const written = await writer.write(record, createTransaction(attempt, revision), signal);
      if (written.isOk()) return ok(undefined);
      const failure = written.error;
      isOutcomeUnknown ||= failure.kind === 'unknown';
      if (failure.kind === 'conflict') {
        const existing = findRecord(failure.records, jobKey(account, id));
        if (existing) {
          jobCache.applyRecord(existing);
          return ok(undefined);
        }
        const admitted = await this.readAdmission(attempt);
        if (admitted.isErr()) return err(refuseUnconfirmed(isOutcomeUnknown));
        revision = admitted.value;
      } else if (!isOutcomeUnknown) return err(refuseUnavailable());
      else if (!jobCache.find(account, id)) await clock.sleep(RETRY_DELAY_MS, signal);
    }
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
    const [row, jobs] = await Promise.all([
      store.read(rangeOf(admission), signal),
      store.read(jobRange(submission.account), signal),
    ]);
    if (row.isErr()) return err(row.error);
    if (jobs.isErr()) return err(jobs.error);
    jobs.value.records.forEach((record) => jobCache.applyRecord(record));
    const revision = row.value.records[0]?.revision ?? 0;
    // Another job was accepted between the two reads.
    if (revision > jobs.value.revision) return this.readAdmission(attempt);
    return ok(revision);
  }
}
