/** Store of batch jobs: acceptance, lookup, progress, completion and cancellation. */
import { createHash, randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Row, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';
import {
  fromObjectFailure,
  fromTableFailure,
  type ReadFailure,
  type WriteFailure,
} from './BatchFailure.js';
import type { Clock } from './Clock.js';
import {
  checkInput,
  type CheckedInput,
  type InputError,
  type InputRules,
} from './input/checkInput.js';
import { manifestObjectName, type Manifest } from './manifest.js';
import {
  ACCOUNT_JOB_PREFIX,
  CHUNK_PREFIX,
  accountJobKey,
  accountPartition,
  fileKey,
  jobKey,
  jobPartition,
  queueKey,
  submissionKey,
} from './rows/rowKeys.js';
import {
  accountJobRow,
  chunkRow,
  jobRow,
  parseRow,
  submissionRow,
  toAttributes,
  type ChunkRow,
  type FileRecord,
  type Job,
  type Tally,
} from './rows/rows.js';
import { transactWithReadBack } from './transactWithReadBack.js';

/** Time in which a repeated submission without an idempotency key gets the first job. Unit: ms. */
export const DEDUPLICATION_WINDOW_MS = 24 * 3_600_000;

/** Expiry time of rows that do not expire. */
const NO_EXPIRY = Number.MAX_SAFE_INTEGER;

/** Maximum number of jobs in a listing; the newest are returned. */
export const MAX_LISTED_JOBS = 1000;

/** Submission of a job by a caller. */
export interface Submission {
  readonly account: string;
  readonly file: FileRecord;
  readonly window: string;
  /** Time from acceptance until the job is due. Unit: ms. */
  readonly dueInMs: number;
  readonly metadata: Readonly<Record<string, string>> | null;
  readonly idempotencyKey?: string;
}

/** Reason why a job was not accepted. */
export type AcceptFailure =
  | WriteFailure
  | { readonly kind: 'invalid'; readonly errors: readonly InputError[] }
  /** The idempotency key was already used for a different submission. */
  | { readonly kind: 'identity-reused' };

/** An accepted job. */
export interface Acceptance {
  readonly job: Job;
  /** Whether the job was created by an earlier submission. */
  readonly resent: boolean;
}

/** A chunk row with its index. */
export interface Chunk extends ChunkRow {
  readonly index: number;
}

/** A job and its chunks that have been claimed at least once, in order. */
export interface JobRows {
  readonly job: Job;
  readonly chunks: readonly Chunk[];
}

/** A job with its chunks and the totals of their results. */
export interface JobReport extends JobRows {
  /** Totals of the finished chunks. */
  readonly tally: Tally;
}

/** Store of batch jobs. */
export interface JobStore {
  /**
   * Checks the input and accepts a job. A repeated submission returns the job of the first one.
   *
   * @param submission - submission of the caller
   * @param rules - rules that the items must satisfy
   * @param deadline - monotonic time at which the call times out. Unit: ms
   * @returns the job once it is durable, or the reason why it was not accepted
   */
  accept(
    submission: Submission,
    rules: InputRules,
    deadline: number,
  ): Promise<Result<Acceptance, AcceptFailure>>;

  /**
   * Reads a job row.
   *
   * @param id - job id
   * @returns the job; the owner is not checked
   */
  get(id: string): Promise<Result<Job, ReadFailure>>;

  /**
   * Reads a job and its chunks in one query, which is not a consistent snapshot: the job may have
   * ended before the last commit in the returned rows.
   *
   * @param id - job id
   * @returns the rows; the owner is not checked
   */
  readRows(id: string): Promise<Result<JobRows, ReadFailure>>;

  /**
   * Reads a job and its chunks. Records the completion if all chunks are done and the job is still
   * open.
   *
   * @param id - job id
   * @returns the job; the owner is not checked
   */
  report(id: string): Promise<Result<JobReport, ReadFailure>>;

  /**
   * Lists the newest jobs of an account, newest first, up to {@link MAX_LISTED_JOBS}.
   *
   * @param account - client account
   * @returns job ids
   */
  list(account: string): Promise<Result<string[], ReadFailure>>;

  /**
   * Cancels a job. Later commits are refused. Cancelling again has no effect, and a completed job
   * stays completed.
   *
   * @param id - job id
   * @param deadline - monotonic time at which the call times out. Unit: ms
   * @returns the job after the call
   */
  cancel(id: string, deadline: number): Promise<Result<JobReport, WriteFailure>>;
}

/** Dependencies of {@link JobStore}. */
export interface JobStoreDependencies {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly clock: Clock;
}

/** Totals of a job without finished chunks. */
export const EMPTY_TALLY: Tally = { succeeded: 0, failed: 0, outputBytes: 0, errorBytes: 0 };

/** Timeout for recording a completion, which the next reader retries. Unit: ms. */
const COMPLETION_TIMEOUT_MS = 2000;

const addTallies = (left: Tally, right: Tally): Tally => ({
  succeeded: left.succeeded + right.succeeded,
  failed: left.failed + right.failed,
  outputBytes: left.outputBytes + right.outputBytes,
  errorBytes: left.errorBytes + right.errorBytes,
});

const hash = (...parts: readonly string[]): string =>
  createHash('sha256').update(JSON.stringify(parts)).digest('hex');

const serializeMetadata = (metadata: Submission['metadata']): string =>
  JSON.stringify(Object.entries(metadata ?? {}).sort(([left], [right]) => (left < right ? -1 : 1)));

/** Hashes a submission with the content of its file, so that a second upload matches. */
const hashSubmission = ({ file, window, metadata }: Submission): string =>
  hash(file.sha256, window, serializeMetadata(metadata));

const identifySubmission = (submission: Submission): string =>
  submission.idempotencyKey === undefined
    ? hash('content', hashSubmission(submission))
    : hash('key', submission.idempotencyKey);

/** The input stream failed before its end. */
class InputStreamError extends Error {}

const wrapStreamErrors = async function* reportCut(
  stream: AsyncIterable<Uint8Array>,
): AsyncGenerator<Uint8Array> {
  try {
    yield* stream;
  } catch (error) {
    throw new InputStreamError(error instanceof Error ? error.message : String(error));
  }
};

/**
 * Opens the store of jobs.
 *
 * @param dependencies - table, object store and clock
 * @returns the store
 */
export const openJobStore = ({ table, objects, clock }: JobStoreDependencies): JobStore => {
  const get: JobStore['get'] = async (id) => {
    const found = await table.get(jobKey(id));
    if (found.isErr()) return err(fromTableFailure(found.error));
    if (found.value === undefined) return err({ kind: 'not-found' });
    return parseRow(jobRow, found.value).map((row) => ({ ...row, id }));
  };

  const parseChunks = (rows: readonly Row[]): Result<Chunk[], ReadFailure> => {
    const chunks: Chunk[] = [];
    for (const row of rows) {
      const parsed = parseRow(chunkRow, row);
      if (parsed.isErr()) return err(parsed.error);
      chunks.push({ ...parsed.value, index: Number(row.sk.slice(CHUNK_PREFIX.length)) });
    }
    return ok(chunks);
  };

  const readChunks = async (id: string): Promise<Result<Chunk[], ReadFailure>> => {
    const found = await table.query({ pk: jobPartition(id), prefix: CHUNK_PREFIX });
    return found.isErr() ? err(fromTableFailure(found.error)) : parseChunks(found.value);
  };

  const readRows: JobStore['readRows'] = async (id) => {
    const found = await table.query({ pk: jobPartition(id) });
    if (found.isErr()) return err(fromTableFailure(found.error));
    const ownRow = found.value.find(({ sk }) => sk === jobKey(id).sk);
    if (!ownRow) return err({ kind: 'not-found' });
    const chunks = parseChunks(found.value.filter(({ sk }) => sk.startsWith(CHUNK_PREFIX)));
    if (chunks.isErr()) return err(chunks.error);
    return parseRow(jobRow, ownRow).map((row) => ({ job: { ...row, id }, chunks: chunks.value }));
  };

  /** Ends an open job, so that commits to it fail and agents no longer find it. */
  const endJob = (
    job: Job,
    update: Pick<Job, 'state' | 'endedAt' | 'tally'>,
    deadline: number,
  ): Promise<Result<void, TableFailure>> =>
    transactWithReadBack(table, {
      writes: [
        {
          kind: 'update',
          key: jobKey(job.id),
          set: toAttributes(update),
          conditions: [{ kind: 'equals', attribute: 'state', value: 'open' }],
        },
        { kind: 'delete', key: queueKey(job.model, job.dueAt, job.id) },
      ],
      deadline,
      readBack: async () => {
        const now = await get(job.id);
        return now.isOk() && now.value.state !== 'open';
      },
    });

  const report: JobStore['report'] = async (id) => {
    // The job is read before its chunks. No chunk changes after the job has ended, so the chunks
    // read for an ended job are final. The other order could miss a commit just before a cancel.
    const found = await get(id);
    if (found.isErr()) return err(found.error);
    const chunks = await readChunks(id);
    if (chunks.isErr()) return err(chunks.error);
    const done = chunks.value.filter(({ state }) => state === 'done');
    const tally = done.reduce(
      (sum, chunk) => addTallies(sum, chunk.tally ?? EMPTY_TALLY),
      EMPTY_TALLY,
    );
    const job = found.value;
    if (job.state !== 'open' || done.length < job.chunks) {
      return ok({ job, chunks: chunks.value, tally });
    }
    const update = { state: 'completed' as const, endedAt: clock.wall(), tally };
    await endJob(job, update, clock.monotonic() + COMPLETION_TIMEOUT_MS);
    const ended = await get(id);
    return ended.map((now) => ({ job: now, chunks: chunks.value, tally }));
  };

  const findDuplicate = async (
    submission: Submission,
  ): Promise<Result<{ row?: Row; job?: string }, AcceptFailure>> => {
    const found = await table.get(
      submissionKey(submission.account, identifySubmission(submission)),
    );
    if (found.isErr()) return err(fromTableFailure(found.error));
    if (found.value === undefined) return ok({});
    const parsed = parseRow(submissionRow, found.value);
    if (parsed.isErr()) return err(parsed.error);
    const { job, content, expiresAt } = parsed.value;
    if (expiresAt <= clock.wall()) return ok({ row: found.value });
    if (content !== hashSubmission(submission)) return err({ kind: 'identity-reused' });
    return ok({ row: found.value, job });
  };

  const findExistingJob = async (
    submission: Submission,
  ): Promise<Result<Acceptance, AcceptFailure>> => {
    const duplicate = await findDuplicate(submission);
    if (duplicate.isErr()) return err(duplicate.error);
    if (duplicate.value.job === undefined) return err({ kind: 'not-found' });
    const job = await get(duplicate.value.job);
    return job.map((existing) => ({ job: existing, resent: true }));
  };

  const checkFile = async (
    file: FileRecord,
    rules: InputRules,
  ): Promise<Result<CheckedInput, AcceptFailure>> => {
    const opened = await objects.open(file.object);
    if (opened.isErr()) return err(fromObjectFailure(opened.error));
    try {
      const checked = await checkInput(wrapStreamErrors(opened.value), rules);
      if (checked.isErr()) return err({ kind: 'invalid', errors: checked.error });
      if (checked.value.bytes === file.bytes) return ok(checked.value);
      return err({ kind: 'unavailable', message: 'the input could not be read completely' });
    } catch (error) {
      if (!(error instanceof InputStreamError)) throw error;
      return err({ kind: 'unavailable', message: error.message });
    }
  };

  const describeJob = (
    { account, file, window, dueInMs, metadata }: Submission,
    rules: InputRules,
    { model, items, chunks }: CheckedInput,
  ): Job => {
    const createdAt = clock.wall();
    return {
      id: `batch_${randomUUID().replaceAll('-', '')}`,
      account,
      model,
      state: 'open',
      chunks: chunks.length,
      items,
      input: file.object,
      inputFile: file.id,
      endpoint: rules.endpoint,
      window,
      metadata,
      dueAt: createdAt + dueInMs,
      createdAt,
    };
  };

  const acceptWrites = (submission: Submission, job: Job, earlier?: Row): Write[] => {
    const { id, ...row } = job;
    const { account, createdAt } = row;
    const attributes = {
      job: id,
      content: hashSubmission(submission),
      expiresAt:
        submission.idempotencyKey === undefined ? createdAt + DEDUPLICATION_WINDOW_MS : NO_EXPIRY,
    };
    return [
      {
        kind: 'put',
        key: jobKey(id),
        attributes: toAttributes(row),
        conditions: [{ kind: 'absent' }],
      },
      {
        kind: 'put',
        key: queueKey(row.model, row.dueAt, id),
        attributes: { account, job: id },
      },
      { kind: 'put', key: accountJobKey(account, createdAt, id), attributes: { job: id } },
      {
        kind: 'put',
        key: submissionKey(account, identifySubmission(submission)),
        attributes,
        conditions: [
          earlier === undefined
            ? { kind: 'absent' }
            : { kind: 'equals', attribute: 'job', value: String(earlier.attributes.job) },
        ],
      },
      // A file that was deleted in the meantime must not become the input of a job.
      { kind: 'check', key: fileKey(submission.file.id), conditions: [{ kind: 'present' }] },
    ];
  };

  const commitJob = async (
    submission: Submission,
    job: Job,
    earlier: Row | undefined,
    deadline: number,
  ): Promise<Result<Acceptance, AcceptFailure>> => {
    const written = await transactWithReadBack(table, {
      writes: acceptWrites(submission, job, earlier),
      deadline,
      readBack: async () => (await get(job.id)).isOk(),
    });
    if (written.isOk()) return ok({ job, resent: false });
    if (written.error.kind === 'conflict') return findExistingJob(submission);
    return err(written.error);
  };

  const accept: JobStore['accept'] = async (submission, rules, deadline) => {
    const duplicate = await findDuplicate(submission);
    if (duplicate.isErr()) return err(duplicate.error);
    if (duplicate.value.job !== undefined) return findExistingJob(submission);
    const checked = await checkFile(submission.file, rules);
    if (checked.isErr()) return err(checked.error);
    const job = describeJob(submission, rules, checked.value);
    const manifest: Manifest = { chunks: [...checked.value.chunks] };
    const stored = await objects.put(manifestObjectName(job.id), JSON.stringify(manifest));
    if (stored.isErr()) return err(fromObjectFailure(stored.error));
    return commitJob(submission, job, duplicate.value.row, deadline);
  };

  const list: JobStore['list'] = async (account) => {
    const found = await table.query({
      pk: accountPartition(account),
      prefix: ACCOUNT_JOB_PREFIX,
      descending: true,
      limit: MAX_LISTED_JOBS,
    });
    if (found.isErr()) return err(fromTableFailure(found.error));
    const ids: string[] = [];
    for (const row of found.value) {
      const parsed = parseRow(accountJobRow, row);
      if (parsed.isErr()) return err(parsed.error);
      ids.push(parsed.value.job);
    }
    return ok(ids);
  };

  const cancel: JobStore['cancel'] = async (id, deadline) => {
    const before = await report(id);
    if (before.isErr() || before.value.job.state !== 'open') return before;
    const update = { state: 'cancelled' as const, endedAt: clock.wall() };
    const written = await endJob(before.value.job, update, deadline);
    const after = await report(id);
    if (after.isOk() && after.value.job.state !== 'open') return after;
    if (written.isErr() && written.error.kind === 'unavailable') return err(written.error);
    return err({ kind: 'unknown', message: 'the outcome of the cancellation is unknown' });
  };

  return { accept, get, readRows, report, list, cancel };
};
