/** Accepts batch jobs: each is written once, under the token limit of its account. */
import { randomUUID } from 'node:crypto';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Clock } from '@jacinthlug/control/time/Clock';
import { err, ok, type Result } from 'neverthrow';
import { findRecord, rangeOf } from '../store/recordKeys.js';
import type { RecordKey, RecordStore, StoreFailure, Transaction } from '../store/RecordStore.js';
import type { JobCache } from './JobCache.js';
import type { JobInputs } from './JobInputs.js';
import { admissionKey, JOBS_TABLE, jobKey, partitionOf } from './jobKeys.js';
import type { JobInput, JobRecord } from './JobRecord.js';
import type { JobWriter } from './JobWriter.js';
import { refuseUnavailable, refuseUnconfirmed } from './storeRefusals.js';

/** Delay before a write is repeated. Unit: ms. */
const RETRY_DELAY_MS = 100;

/** Maximum wait for the revision of the admission row once the input is stored. Unit: ms. */
const ADMISSION_READ_MS = 100;

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
  readonly admission: RecordKey;
  /** Aborted when the caller must get a status. */
  readonly signal: AbortSignal;
}

const encode = (content: unknown): Buffer => Buffer.from(JSON.stringify(content));

/** Accepts batch jobs. */
export class JobAcceptance {
  /**
   * Last known revisions of the admission rows, by their keys. Every acceptance for an account and route writes their
   * row, so that of two concurrent acceptances one fails and checks the token limit again.
   */
  private readonly admissionRevisions = new Map<string, number>();

  constructor(private readonly dependencies: JobAcceptanceDependencies) {}

  /**
   * Accepts a batch job. Repeated submissions of the same job are accepted only once. No write is sent once the signal is
   * aborted, so that a refusal which states that nothing runs stays true.
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
    const { id, account, route, host, items } = submission;
    if (jobCache.find(account, id)) return ok(undefined);
    const submittedAt = store.now();
    if (submittedAt === undefined || signal.aborted) return err(refuseUnavailable());
    if (this.exceedsTokenLimit(submission)) return err(refuse('job-over-limit'));
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
    const attempt = { submission, record, admission: admissionKey(account, route), signal };
    const isPrepared = await this.prepare(attempt);
    const result = isPrepared ? await this.writeUntilKnown(attempt) : err(refuseUnavailable());
    if (!this.mayUseInput(record, result)) void inputs.discard(input);
    return result;
  }

  /** Stores the input, and learns the revision of the admission row. Returns whether the input is stored. */
  private async prepare(attempt: Attempt): Promise<boolean> {
    const { submission, record, admission, signal } = attempt;
    const revisionRead = this.readAdmissionRevision(attempt);
    const put = await this.dependencies.inputs.store(record.input, submission.items, signal);
    if (put.isErr()) return false;
    if (!this.admissionRevisions.has(admission.key))
      await Promise.race([revisionRead, this.dependencies.clock.sleep(ADMISSION_READ_MS, signal)]);
    return true;
  }

  /** Repeats the write of a job until its outcome is known, or its caller must get a status. */
  private async writeUntilKnown(attempt: Attempt): Promise<Result<void, Refusal>> {
    const { jobCache, writer, clock } = this.dependencies;
    const { submission, record, admission, signal } = attempt;
    const { account, id } = record;
    let isOutcomeUnknown = false;
    for (;;) {
      if (jobCache.find(account, id)) return ok(undefined);
      if (signal.aborted) return err(refuseUnconfirmed(isOutcomeUnknown));
      if (this.exceedsTokenLimit(submission)) {
        // A write without a response may still be applied, so the refusal must not promise that nothing runs.
        return err(isOutcomeUnknown ? refuse('deadline-passed') : refuse('job-over-limit'));
      }
      const written = await writer.write(record, this.createTransaction(attempt), signal);
      if (written.isOk()) {
        this.admissionRevisions.set(admission.key, written.value.revision);
        return ok(undefined);
      }
      const failure = written.error;
      isOutcomeUnknown ||= failure.kind === 'unknown';
      if (failure.kind === 'conflict') {
        if (await this.applyConflict(attempt, failure)) return ok(undefined);
      } else if (!isOutcomeUnknown) return err(refuseUnavailable());
      else if (!jobCache.find(account, id)) await clock.sleep(RETRY_DELAY_MS, signal);
    }
  }

  private createTransaction({ record, admission }: Attempt): Transaction {
    const key = jobKey(record.account, record.id);
    return {
      conditions: [
        { ...key, revision: 0 },
        { ...admission, revision: this.admissionRevisions.get(admission.key) ?? 0 },
      ],
      writes: [
        { ...key, value: encode(record) },
        { ...admission, value: encode({ job: record.id }) },
      ],
    };
  }

  /** Learns of what another host has accepted: this job, or another one of the account. Returns whether it is this job. */
  private async applyConflict(
    { submission, record, admission, signal }: Attempt,
    { records }: Extract<StoreFailure, { kind: 'conflict' }>,
  ): Promise<boolean> {
    const existing = findRecord(records, jobKey(record.account, record.id));
    if (existing) {
      this.dependencies.jobCache.applyRecord(existing);
      return true;
    }
    if (await this.reloadOtherJobs(submission, signal)) {
      const revision = findRecord(records, admission)?.revision ?? 0;
      this.admissionRevisions.set(admission.key, revision);
    } else await this.dependencies.clock.sleep(RETRY_DELAY_MS, signal);
    return false;
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

  /** Reads the revision of the admission row, unless it is known, so that the first write isn't rejected because of it. */
  private async readAdmissionRevision({ submission, admission, signal }: Attempt): Promise<void> {
    if (this.admissionRevisions.has(admission.key)) return;
    const page = await this.dependencies.store.read(rangeOf(admission), signal);
    if (page.isErr() || !(await this.reloadOtherJobs(submission, signal))) return;
    if (!this.admissionRevisions.has(admission.key))
      this.admissionRevisions.set(admission.key, page.value.records[0]?.revision ?? 0);
  }

  /**
   * Reloads an account's jobs, which may include those that other hosts have accepted up to a revision of the admission row.
   * That revision may be used only afterwards, as otherwise the limit wouldn't be checked against them.
   *
   * @param submission - a job of the account
   * @param signal - aborted when the caller must get a status
   * @returns whether all jobs are known that matter to the limit
   */
  private async reloadOtherJobs(
    { account, waitingTokens }: Submission,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (waitingTokens === 0) return true;
    const range = {
      table: JOBS_TABLE,
      partition: partitionOf(account),
      // All keys that begin with `account/`, as 0 is the character after the slash.
      from: `${account}/`,
      to: `${account}0`,
    };
    const page = await this.dependencies.store.read(range, signal);
    if (page.isErr()) return false;
    page.value.records.forEach((record) => this.dependencies.jobCache.applyRecord(record));
    return true;
  }
}
