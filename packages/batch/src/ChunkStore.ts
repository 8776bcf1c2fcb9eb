/** Chunk claims with fencing numbers and leases, renewal, commit and release. */
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

/** Validity of a claim when the settings name none. Unit: ms. */
export const DEFAULT_LEASE_MS = 60_000;

/** Longest wait for the outcome of one write of a holder. Unit: ms. */
const WRITE_TIMEOUT_MS = 10_000;

/** Queue rows that are read at once. */
const MAX_QUEUE_ROWS = 200;

/**
 * Jobs that one look searches at most. With {@link SEARCH_PAUSE_LEASE_FRACTION} it bounds the reads of a fleet whose
 * chunks are all claimed: 630 agents that look each 5 s make at most 882 reads a second.
 */
const MAX_JOBS_PER_SEARCH = 6;

/**
 * A job without a free chunk is not searched again for this part of a lease, so a lapse goes
 * unnoticed for no longer.
 */
const SEARCH_PAUSE_LEASE_FRACTION = 1 / 3;

/** The agent that claims. */
export interface Holder {
  /** Name and start of the process, so that a restarted one is another holder. */
  readonly incarnation: string;
  /** Inner address, for the cancel notice. */
  readonly address: string;
}

/** A chunk that can be claimed. */
export interface FreeChunk {
  readonly job: Job;
  readonly index: number;
  /** Row of the last claim; absent when the chunk was never claimed. */
  readonly former?: ChunkRow;
}

/** A claimed chunk. */
export interface Claim {
  readonly job: Job;
  readonly index: number;
  readonly holder: Holder;
  readonly fencing: number;
  /** Monotonic time until which the chunk is held. Unit: ms. */
  readonly heldUntil: number;
  /** Earlier claims that ended without a commit or a release. */
  readonly lapses: number;
  /** Items, by index in the chunk, that were running alone when a holder was lost. */
  readonly crashed: readonly number[];
  /** Names the commit, so that a repeat takes effect once. */
  readonly commitToken: string;
}

/** Why a holder's write failed. */
export type ClaimFailure =
  | Unavailable
  | Unknown
  | Malformed
  | NotFound
  /** Another holder has the chunk. */
  | { readonly kind: 'lost' }
  /** The job is cancelled or gone. */
  | { readonly kind: 'ended' };

/** Chunk claims. */
export interface ChunkStore {
  /**
   * Looks for a free chunk in the order of {@link sortJobsForSearch}, and records completions it notices.
   *
   * @param model - model of the jobs
   * @returns a chunk, chosen at random among the free ones of a job; nothing when there is none
   */
  findFree(model: string): Promise<Result<FreeChunk | undefined, ReadFailure>>;

  /**
   * Claims a chunk.
   *
   * @param chunk - chunk as it was found
   * @param holder - the agent
   * @returns the claim, or why there is none
   */
  claim(chunk: FreeChunk, holder: Holder): Promise<Result<Claim, ClaimFailure>>;

  /**
   * Prolongs a claim.
   *
   * @param claim - the claim
   * @returns the monotonic time until which the chunk is now held, or why it was not prolonged
   */
  renew(claim: Claim): Promise<Result<number, ClaimFailure>>;

  /**
   * Records the item that is about to run alone in the process.
   *
   * @param claim - the claim
   * @param item - index of the item in the chunk
   */
  recordRunning(claim: Claim, item: number): Promise<Result<void, ClaimFailure>>;

  /**
   * Makes the results of a chunk visible: results object first, then one transaction on condition
   * that the job is open and the claim is the latest. May be repeated with the same lines.
   *
   * @param claim - the claim
   * @param lines - one result for each item, in order
   * @returns nothing once the results are visible, or why they are not
   */
  commit(claim: Claim, lines: readonly ResultLine[]): Promise<Result<void, ClaimFailure>>;

  /**
   * Gives a chunk back, so that another agent can claim it at once.
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

/** What the chunk store works on. */
export interface ChunkStoreDependencies {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  readonly jobs: JobStore;
  /** Random numbers of [0, 1). */
  readonly random: () => number;
  /** Validity of a claim from the sending of the claim or of its last renewal. Unit: ms. */
  readonly leaseMs?: number;
}

/**
 * Names the results object of a claim; each claim of a chunk has its own.
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
  running === NO_ITEM || crashed.includes(running) ? crashed : [...crashed, running];

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
  const settleBy = (): number => clock.monotonic() + WRITE_TIMEOUT_MS;

  const readRow = async (job: Job, index: number): Promise<ChunkRow | undefined> => {
    const found = await table.get(chunkKey(job.id, index));
    if (found.isErr() || found.value === undefined) return undefined;
    return parseRow(chunkRow, found.value).unwrapOr(undefined);
  };

  const isMine = ({ holder, fencing }: Claim, row: ChunkRow | undefined): boolean =>
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

  /** Tells a cancelled job from a lost chunk after a condition has failed. */
  const explainConflict = async (job: Job): Promise<ClaimFailure> => {
    const now = await jobs.get(job.id);
    if (now.isErr()) return now.error.kind === 'not-found' ? { kind: 'ended' } : { kind: 'lost' };
    return { kind: now.value.state === 'open' ? 'lost' : 'ended' };
  };

  const explain = async (job: Job, failure: TableFailure): Promise<ClaimFailure> =>
    failure.kind === 'conflict' ? explainConflict(job) : failure;

  const isFree = (row: ChunkRow): boolean =>
    row.state === 'claimed' && row.leaseUntil < clock.wall();

  const pick = <Item>(items: readonly Item[]): Item | undefined =>
    items[Math.floor(random() * items.length)];

  /** Monotonic times until which jobs are taken to have no free chunk. */
  const busyUntil = new Map<string, number>();

  const rememberBusy = (id: string): void => {
    busyUntil.forEach((until, job) => {
      if (until <= clock.monotonic()) busyUntil.delete(job);
    });
    busyUntil.set(id, clock.monotonic() + leaseMs * SEARCH_PAUSE_LEASE_FRACTION);
  };

  const isBusy = (id: string): boolean => (busyUntil.get(id) ?? 0) > clock.monotonic();

  const pickFree = ({ job, chunks }: JobRows): FreeChunk | undefined => {
    const rows = new Map<number, Chunk>(chunks.map((chunk) => [chunk.index, chunk]));
    const free = Array.from({ length: job.chunks }, (_, index) => index).filter((index) => {
      const row = rows.get(index);
      return row === undefined || isFree(row);
    });
    const index = pick(free);
    if (index === undefined) return undefined;
    const former = rows.get(index);
    return former ? { job, index, former } : { job, index };
  };

  const findInJob = async (id: string): Promise<Result<FreeChunk | undefined, ReadFailure>> => {
    const found = await jobs.readRows(id);
    if (found.isErr()) return found.error.kind === 'not-found' ? ok(undefined) : err(found.error);
    const { job, chunks } = found.value;
    const isDone = chunks.filter(({ state }) => state === 'done').length === job.chunks;
    if (job.state !== 'open' || isDone) return (await jobs.report(id)).map(() => undefined);
    const free = pickFree(found.value);
    if (!free) rememberBusy(id);
    return ok(free);
  };

  const findFree: ChunkStore['findFree'] = async (model) => {
    const queued = await table.query({ pk: queuePartition(model), limit: MAX_QUEUE_ROWS });
    if (queued.isErr()) return err(fromTableFailure(queued.error));
    const waiting: QueuedJob[] = [];
    for (const row of queued.value) {
      const parsed = parseRow(queueRow, row);
      if (parsed.isErr()) return err(parsed.error);
      waiting.push({ ...parsed.value, dueAt: parseDueAt(row) });
    }
    const searched = sortJobsForSearch(waiting, random).filter((id) => !isBusy(id));
    for (const id of searched.slice(0, MAX_JOBS_PER_SEARCH)) {
      const found = await findInJob(id);
      if (found.isErr() || found.value) return found;
    }
    return ok(undefined);
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
    // The lease counts from before the write is sent, so that it ends here no later than there.
    const heldUntil = clock.monotonic() + leaseMs;
    const lapsed = former !== undefined && former.holder !== RELEASED;
    const row: ChunkRow = {
      state: 'claimed',
      holder: holder.incarnation,
      address: holder.address,
      fencing: (former?.fencing ?? 0) + 1,
      leaseUntil: clock.wall() + leaseMs,
      lapses: (former?.lapses ?? 0) + (lapsed ? 1 : 0),
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
      deadline: settleBy(),
      readBack: async () => isMine(claimed, await readRow(job, index)),
    });
    return written.isOk() ? ok(claimed) : err(await explain(job, written.error));
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
            // A renewal that lands late must not shorten the lease that a later one gave.
            { kind: 'less', attribute: 'leaseUntil', value: leaseUntil },
          ],
        },
      ],
      deadline: settleBy(),
      readBack: async () => {
        const row = await readRow(held.job, held.index);
        return isMine(held, row) && row !== undefined && row.leaseUntil >= leaseUntil;
      },
    });
    return written.isOk() ? ok(heldUntil) : err(await explain(held.job, written.error));
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
      deadline: settleBy(),
      readBack: async () => isEffective(await readRow(held.job, held.index)),
    });
    return written.isOk() ? ok(undefined) : err(await explain(held.job, written.error));
  };

  const recordRunning: ChunkStore['recordRunning'] = (held, item) =>
    updateHeld(held, { running: item }, (row) => isMine(held, row) && row?.running === item);

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
      deadline: settleBy(),
      readBack: async () => {
        const row = await readRow(held.job, held.index);
        return row?.state === 'done' && row.result === result;
      },
    });
    return written.isOk() ? ok(undefined) : err(await explain(held.job, written.error));
  };

  const manifests = new Map<string, Manifest>();

  const readManifest = async (job: Job): Promise<Result<Manifest, ReadFailure>> => {
    const known = manifests.get(job.id);
    if (known) return ok(known);
    const stored = await objects.get(manifestObjectName(job.id));
    if (stored.isErr()) return err(fromObjectFailure(stored.error));
    const parsed = manifest.safeParse(JSON.parse(stored.value.toString('utf8')));
    if (!parsed.success) return err({ kind: 'malformed', message: parsed.error.message });
    // One manifest is kept: an agent mostly stays with the job that is due first.
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

  return { findFree, claim, renew, recordRunning, commit, release, readInput };
};
