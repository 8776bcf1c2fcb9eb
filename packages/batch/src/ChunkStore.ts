/** Store of chunk claims: claims with fencing numbers and leases, renewal, commit and release. */
import { randomUUID } from 'node:crypto';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Condition, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';
import {
  fromObjectFailure,
  fromTableFailure,
  type Malformed,
  type NotFound,
  type ReadFailure,
  type Unavailable,
  type Unknown,
} from './BatchFailure.js';
import type { Clock } from './Clock.js';
import type { Chunk, JobRows, JobStore } from './JobStore.js';
import { manifest, manifestObjectName, type Manifest } from './manifest.js';
import { isSuccess, type ResultLine } from './results/resultLine.js';
import { formatChunkIndex, chunkKey, parseDueAt, jobKey, queuePartition } from './rows/rowKeys.js';
import {
  NO_ITEM,
  RELEASED,
  chunkRow,
  parseRow,
  queueRow,
  toAttributes,
  type ChunkRow,
  type Job,
  type Tally,
} from './rows/rows.js';
import { sortJobsForSearch, type QueuedJob } from './sortJobsForSearch.js';
import { transactWithReadBack } from './transactWithReadBack.js';

/** Default validity of a claim. Unit: ms. */
export const DEFAULT_LEASE_MS = 60_000;

/** Timeout for one write of a holder. Unit: ms. */
const WRITE_TIMEOUT_MS = 10_000;

/** Maximum number of queue rows read by one search. */
const MAX_QUEUE_ROWS = 200;

/**
 * Maximum number of jobs examined by one search. Together with {@link SEARCH_PAUSE_LEASE_FRACTION}
 * it limits the reads of a fleet whose chunks are all claimed: 630 agents that each search every 5 s
 * make at most 882 reads per second.
 */
const MAX_JOBS_PER_SEARCH = 6;

/**
 * Fraction of a lease during which a job without a free chunk is not searched again. An expired
 * claim goes unnoticed for at most this time.
 */
const SEARCH_PAUSE_LEASE_FRACTION = 1 / 3;

/** The agent that holds a claim. */
export interface Holder {
  /** Name and start of the process, so that a restarted process is a different holder. */
  readonly incarnation: string;
  /** Inner address, to which cancel notices are sent. */
  readonly address: string;
}

/** A chunk that can be claimed. */
export interface FreeChunk {
  readonly job: Job;
  readonly index: number;
  /** Row of the previous claim; absent if the chunk was never claimed. */
  readonly former?: ChunkRow;
}

/** A claimed chunk. */
export interface Claim {
  readonly job: Job;
  readonly index: number;
  readonly holder: Holder;
  readonly fencing: number;
  /** Monotonic time at which the lease expires. Unit: ms. */
  readonly heldUntil: number;
  /** Number of earlier claims that expired without a commit or a release. */
  readonly lapses: number;
  /**
   * Indices in the chunk of the items that were running when a target crashed, or running alone when a holder was lost;
   * an index stands there once for each crash.
   */
  readonly crashed: readonly number[];
  /** Idempotency token of the commit. */
  readonly commitToken: string;
}

/** Reason why a write of a holder failed. */
export type ClaimFailure =
  | Unavailable
  | Unknown
  | Malformed
  | NotFound
  /** Another holder has claimed the chunk. */
  | { readonly kind: 'lost' }
  /** The job has ended or does not exist. */
  | { readonly kind: 'ended' };

/** Store of chunk claims. */
export interface ChunkStore {
  /**
   * Searches the queued jobs for a free chunk, in the order of {@link sortJobsForSearch}. Records the
   * completion of jobs whose chunks are all done.
   *
   * @param model - model of the jobs
   * @returns a random free chunk of the first job that has one; undefined if there is none
   */
  findFree(model: string): Promise<Result<FreeChunk | undefined, ReadFailure>>;

  /**
   * Claims a chunk.
   *
   * @param chunk - chunk returned by {@link ChunkStore.findFree}
   * @param holder - the agent
   * @returns the claim, or the reason why it failed
   */
  claim(chunk: FreeChunk, holder: Holder): Promise<Result<Claim, ClaimFailure>>;

  /**
   * Renews the lease of a claim.
   *
   * @param claim - the claim
   * @returns the monotonic time at which the new lease expires, or the reason why the renewal failed
   */
  renew(claim: Claim): Promise<Result<number, ClaimFailure>>;

  /**
   * Records the item that is about to run alone in the process, so that the next holder knows which
   * item was running if this one crashes.
   *
   * @param claim - the claim
   * @param item - index of the item in the chunk
   */
  recordRunning(claim: Claim, item: number): Promise<Result<void, ClaimFailure>>;

  /**
   * Records the items that were running at crashes of targets, so that the next holder does not start to count anew.
   *
   * @param claim - the claim
   * @param crashed - all such items of the chunk, as in {@link Claim.crashed}
   */
  recordCrashes(claim: Claim, crashed: readonly number[]): Promise<Result<void, ClaimFailure>>;

  /**
   * Makes the results of a chunk visible. Writes the results object first, then commits it in one
   * transaction on condition that the job is open and the claim is the latest. May be repeated with
   * the same lines.
   *
   * @param claim - the claim
   * @param lines - one result for each item, in order
   * @returns nothing once the results are visible, or the reason why the commit failed
   */
  commit(claim: Claim, lines: readonly ResultLine[]): Promise<Result<void, ClaimFailure>>;

  /**
   * Releases a chunk, so that another agent can claim it immediately.
   *
   * @param claim - the claim
   */
  release(claim: Claim): Promise<Result<void, ClaimFailure>>;

  /**
   * Reads the input of a claimed chunk.
   *
   * @param claim - the claim
   * @returns the bytes of its lines
   */
  readInput(claim: Claim): Promise<Result<Buffer, ReadFailure>>;
}

/** Dependencies of {@link ChunkStore}. */
export interface ChunkStoreDependencies {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  readonly jobs: JobStore;
  /** Returns random numbers in [0, 1). */
  readonly random: () => number;
  /** Validity of a claim, from the time when the claim or its last renewal was sent. Unit: ms. */
  readonly leaseMs?: number;
}

/**
 * Returns the name of the results object of a claim. Each claim of a chunk has its own object.
 *
 * @param claim - the claim
 * @returns object name
 */
export const resultsObjectName = ({ job, index, fencing }: Claim): string =>
  `results/${job.id}/${formatChunkIndex(index)}/${fencing}.jsonl`;

const encodeLines = (lines: readonly ResultLine[]): { text: string; tally: Tally } => {
  const tally = { succeeded: 0, failed: 0, outputBytes: 0, errorBytes: 0 };
  const texts = lines.map((line) => {
    const text = `${JSON.stringify(line)}\n`;
    const bytes = Buffer.byteLength(text);
    if (isSuccess(line)) {
      tally.succeeded += 1;
      tally.outputBytes += bytes;
    } else {
      tally.failed += 1;
      tally.errorBytes += bytes;
    }
    return text;
  });
  return { text: texts.join(''), tally };
};

const listCrashedItems = ({ crashed, running }: ChunkRow): number[] =>
  running === NO_ITEM ? crashed : [...crashed, running];

/**
 * Opens the store of chunk claims.
 *
 * @param dependencies - table, object store, jobs, clock and random numbers
 * @returns the store
 */
export const openChunkStore = ({
  table,
  objects,
  clock,
  jobs,
  random,
  leaseMs = DEFAULT_LEASE_MS,
}: ChunkStoreDependencies): ChunkStore => {
  const writeDeadline = (): number => clock.monotonic() + WRITE_TIMEOUT_MS;

  const readRow = async (job: Job, index: number): Promise<ChunkRow | undefined> => {
    const found = await table.get(chunkKey(job.id, index));
    if (found.isErr() || found.value === undefined) return undefined;
    return parseRow(chunkRow, found.value).unwrapOr(undefined);
  };

  const isOwnedBy = ({ holder, fencing }: Claim, row: ChunkRow | undefined): boolean =>
    row?.fencing === fencing && row.holder === holder.incarnation;

  const openJobCheck = (job: Job): Write => ({
    kind: 'check',
    key: jobKey(job.id),
    conditions: [{ kind: 'equals', attribute: 'state', value: 'open' }],
  });

  const latestClaim = ({ holder, fencing }: Claim): Condition[] => [
    { kind: 'equals', attribute: 'state', value: 'claimed' },
    { kind: 'equals', attribute: 'fencing', value: fencing },
    { kind: 'equals', attribute: 'holder', value: holder.incarnation },
  ];

  /** Determines after a failed condition whether the job has ended or the chunk was lost. */
  const classifyConflict = async (job: Job): Promise<ClaimFailure> => {
    const now = await jobs.get(job.id);
    if (now.isErr()) return now.error.kind === 'not-found' ? { kind: 'ended' } : { kind: 'lost' };
    return { kind: now.value.state === 'open' ? 'lost' : 'ended' };
  };

  const classifyFailure = async (job: Job, failure: TableFailure): Promise<ClaimFailure> =>
    failure.kind === 'conflict' ? classifyConflict(job) : failure;

  const isFree = (row: ChunkRow): boolean =>
    row.state === 'claimed' && row.leaseUntil < clock.wall();

  const pickRandom = <Item>(items: readonly Item[]): Item | undefined =>
    items[Math.floor(random() * items.length)];

  /** Monotonic times until which jobs are assumed to have no free chunk. */
  const busyUntil = new Map<string, number>();

  const markBusy = (id: string): void => {
    busyUntil.forEach((until, job) => {
      if (until <= clock.monotonic()) busyUntil.delete(job);
    });
    busyUntil.set(id, clock.monotonic() + leaseMs * SEARCH_PAUSE_LEASE_FRACTION);
  };

  const isBusy = (id: string): boolean => (busyUntil.get(id) ?? 0) > clock.monotonic();

  const pickFreeChunk = ({ job, chunks }: JobRows): FreeChunk | undefined => {
    const rows = new Map<number, Chunk>(chunks.map((chunk) => [chunk.index, chunk]));
    const free = Array.from({ length: job.chunks }, (_, index) => index).filter((index) => {
      const row = rows.get(index);
      return row === undefined || isFree(row);
    });
    const index = pickRandom(free);
    if (index === undefined) return undefined;
    const former = rows.get(index);
    return former ? { job, index, former } : { job, index };
  };

  const findFreeInJob = async (id: string): Promise<Result<FreeChunk | undefined, ReadFailure>> => {
    const found = await jobs.readRows(id);
    if (found.isErr()) return found.error.kind === 'not-found' ? ok(undefined) : err(found.error);
    const { job, chunks } = found.value;
    const isDone = chunks.filter(({ state }) => state === 'done').length === job.chunks;
    if (job.state !== 'open' || isDone) return (await jobs.report(id)).map(() => undefined);
    const free = pickFreeChunk(found.value);
    if (!free) markBusy(id);
    return ok(free);
  };

  const findFree: ChunkStore['findFree'] = async (model) => {
    const queued = await table.query({ pk: queuePartition(model), limit: MAX_QUEUE_ROWS });
    if (queued.isErr()) return err(fromTableFailure(queued.error));
    const queuedJobs: QueuedJob[] = [];
    let malformed: Malformed | undefined;
    for (const row of queued.value) {
      const parsed = parseRow(queueRow, row);
      if (parsed.isOk()) queuedJobs.push({ ...parsed.value, dueAt: parseDueAt(row) });
      else malformed = parsed.error;
    }
    const candidates = sortJobsForSearch(queuedJobs, random).filter((id) => !isBusy(id));
    for (const id of candidates.slice(0, MAX_JOBS_PER_SEARCH)) {
      const found = await findFreeInJob(id);
      // A row that can't be read must not keep agents from the other jobs.
      if (found.isErr() && found.error.kind === 'malformed') {
        malformed = found.error;
        markBusy(id);
      } else if (found.isErr() || found.value) return found;
    }
    return malformed ? err(malformed) : ok(undefined);
  };

  const claimWrite = (chunk: FreeChunk, row: ChunkRow): Write => {
    const key = chunkKey(chunk.job.id, chunk.index);
    if (chunk.former === undefined) {
      return {
        kind: 'put',
        key,
        attributes: toAttributes(row),
        conditions: [{ kind: 'absent' }],
      };
    }
    return {
      kind: 'update',
      key,
      set: toAttributes(row),
      conditions: [
        { kind: 'equals', attribute: 'state', value: 'claimed' },
        { kind: 'equals', attribute: 'fencing', value: chunk.former.fencing },
        { kind: 'less', attribute: 'leaseUntil', value: clock.wall() },
      ],
    };
  };

  const claim: ChunkStore['claim'] = async (chunk, holder) => {
    const { job, index, former } = chunk;
    // Computed before the write is sent, so that the lease expires here no later than in the table.
    const heldUntil = clock.monotonic() + leaseMs;
    const expired = former !== undefined && former.holder !== RELEASED;
    const row: ChunkRow = {
      state: 'claimed',
      holder: holder.incarnation,
      address: holder.address,
      fencing: (former?.fencing ?? 0) + 1,
      leaseUntil: clock.wall() + leaseMs,
      lapses: (former?.lapses ?? 0) + (expired ? 1 : 0),
      running: NO_ITEM,
      crashed: former ? listCrashedItems(former) : [],
    };
    const claimed: Claim = {
      job,
      index,
      holder,
      fencing: row.fencing,
      heldUntil,
      lapses: row.lapses,
      crashed: row.crashed,
      commitToken: randomUUID(),
    };
    const written = await transactWithReadBack(table, {
      writes: [openJobCheck(job), claimWrite(chunk, row)],
      deadline: writeDeadline(),
      readBack: async () => isOwnedBy(claimed, await readRow(job, index)),
    });
    return written.isOk() ? ok(claimed) : err(await classifyFailure(job, written.error));
  };

  const renew: ChunkStore['renew'] = async (held) => {
    const heldUntil = clock.monotonic() + leaseMs;
    const leaseUntil = clock.wall() + leaseMs;
    const written = await transactWithReadBack(table, {
      writes: [
        {
          kind: 'update',
          key: chunkKey(held.job.id, held.index),
          set: { leaseUntil },
          conditions: [
            ...latestClaim(held),
            // A delayed renewal must not shorten the lease of a later one.
            { kind: 'less', attribute: 'leaseUntil', value: leaseUntil },
          ],
        },
      ],
      deadline: writeDeadline(),
      readBack: async () => {
        const row = await readRow(held.job, held.index);
        return isOwnedBy(held, row) && row !== undefined && row.leaseUntil >= leaseUntil;
      },
    });
    return written.isOk() ? ok(heldUntil) : err(await classifyFailure(held.job, written.error));
  };

  const updateHeld = async (
    held: Claim,
    set: Partial<ChunkRow>,
    isEffective: (row: ChunkRow | undefined) => boolean,
  ): Promise<Result<void, ClaimFailure>> => {
    const written = await transactWithReadBack(table, {
      writes: [
        {
          kind: 'update',
          key: chunkKey(held.job.id, held.index),
          set: toAttributes(set),
          conditions: latestClaim(held),
        },
      ],
      deadline: writeDeadline(),
      readBack: async () => isEffective(await readRow(held.job, held.index)),
    });
    return written.isOk() ? ok(undefined) : err(await classifyFailure(held.job, written.error));
  };

  const recordRunning: ChunkStore['recordRunning'] = (held, item) =>
    updateHeld(held, { running: item }, (row) => isOwnedBy(held, row) && row?.running === item);

  const recordCrashes: ChunkStore['recordCrashes'] = (held, crashed) =>
    updateHeld(
      held,
      // An item that was recorded as running is among the crashed ones now, and must not count twice.
      { crashed: [...crashed], running: NO_ITEM },
      (row) => isOwnedBy(held, row) && row?.crashed.length === crashed.length,
    );

  const release: ChunkStore['release'] = (held) =>
    updateHeld(
      held,
      { holder: RELEASED, leaseUntil: 0, running: NO_ITEM },
      (row) => row?.fencing === held.fencing && row.holder === RELEASED,
    );

  const commit: ChunkStore['commit'] = async (held, lines) => {
    const { text, tally } = encodeLines(lines);
    const result = resultsObjectName(held);
    const stored = await objects.put(result, text);
    if (stored.isErr()) return err(fromObjectFailure(stored.error));
    const written = await transactWithReadBack(table, {
      writes: [
        openJobCheck(held.job),
        {
          kind: 'update',
          key: chunkKey(held.job.id, held.index),
          set: { state: 'done', result, tally, running: NO_ITEM },
          conditions: latestClaim(held),
        },
      ],
      token: held.commitToken,
      deadline: writeDeadline(),
      readBack: async () => {
        const row = await readRow(held.job, held.index);
        return row?.state === 'done' && row.result === result;
      },
    });
    return written.isOk() ? ok(undefined) : err(await classifyFailure(held.job, written.error));
  };

  const manifests = new Map<string, Manifest>();

  const readManifest = async (job: Job): Promise<Result<Manifest, ReadFailure>> => {
    const cached = manifests.get(job.id);
    if (cached) return ok(cached);
    const stored = await objects.get(manifestObjectName(job.id));
    if (stored.isErr()) return err(fromObjectFailure(stored.error));
    const parsed = manifest.safeParse(JSON.parse(stored.value.toString('utf8')));
    if (!parsed.success) return err({ kind: 'malformed', message: parsed.error.message });
    // Only one manifest is cached, since an agent mostly works on the job that is due first.
    manifests.clear();
    manifests.set(job.id, parsed.data);
    return ok(parsed.data);
  };

  const readInput: ChunkStore['readInput'] = async ({ job, index }) => {
    const read = await readManifest(job);
    if (read.isErr()) return err(read.error);
    const range = read.value.chunks[index];
    if (!range) return err({ kind: 'malformed', message: `${job.id} has no chunk ${index}` });
    const bytes = await objects.get(job.input, { first: range.first, last: range.last });
    return bytes.mapErr(fromObjectFailure);
  };

  return { findFree, claim, renew, recordRunning, recordCrashes, commit, release, readInput };
};
