/** The lease of the home of one shard (design 5.2). */
import { randomUUID } from 'node:crypto';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Attributes, Condition, Row, Table, Write } from '@jacinthlug/backing/Table';
import * as z from 'zod';
import type { Follower } from '../follower/createFollower.js';
import type { Clock } from '../time/Clock.js';
import type { FreeAllocation } from './createAccountAllocator.js';
import {
  TAKEOVER_MIN_READABLE_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  LEASE_TAKEOVER_DELAY_MS,
  LEASE_VALIDITY_MS,
  NO_EXPIRY_AFTER_OUTAGE_MS,
  NO_EXPIRY_AFTER_TAKEOVER_MS,
} from './shareTiming.js';
import { getLeaseKey } from './shards.js';

const freeAllocation = z.object({ rate: z.number(), capacity: z.number(), tokens: z.number() });

const leaseAttributes = z.object({
  /** Incarnation of the home; empty after a release. */
  holder: z.string(),
  address: z.string(),
  generation: z.int().nonnegative(),
  beat: z.int().nonnegative(),
  /** What the home knew to be free when it released the lease, by account. */
  free: z.record(z.string(), freeAllocation).default({}),
});

/** Content of a lease row. */
type LeaseRow = z.infer<typeof leaseAttributes>;

/** A lease that this process holds. */
export interface HeldLease {
  readonly generation: number;
  /** Monotonic time at which it was taken over. Unit: ms. */
  readonly acquiredAt: number;
  /** What the home before knew to be free, by account. */
  readonly inheritedFree: Readonly<Record<string, FreeAllocation>>;
}

/** A renewal that has not been sent. */
export interface LeaseRenewal {
  readonly write: Write;
  /**
   * Notes the outcome of the write.
   *
   * @param outcome - what the table answered
   * @param sentAt - monotonic time at which the write was sent. Unit: ms
   */
  applyOutcome(outcome: RenewalOutcome, sentAt: number): void;
}

/** Outcome of a renewal: `lost` when another process has the lease, `unsettled` without an answer. */
export type RenewalOutcome = 'renewed' | 'lost' | 'unsettled';

/** The lease of one shard. */
export interface HomeLease {
  /**
   * Gives the lease when it may be acted on now.
   *
   * @returns the lease, or nothing
   */
  inForce(): HeldLease | undefined;

  /**
   * Tells whether shares lapse by time now: the lease was renewed without a gap lately.
   *
   * @returns whether they lapse
   */
  canSharesExpire(): boolean;

  /**
   * Tells until when shares of earlier homes may be in force.
   *
   * @returns monotonic time. Unit: ms
   */
  earlierSharesEndAt(): number;

  /**
   * Tells which other process is the home, as the lease row was last seen.
   *
   * @returns inner address of the home
   */
  homeAddress(): string | undefined;

  /**
   * Prepares a renewal, when the lease is held.
   *
   * @returns the write, and what to do with its outcome; nothing when the lease is not held
   */
  prepareRenewal(): LeaseRenewal | undefined;

  /** Watches a lease that is not held, and takes it over when it is due; one look. */
  poll(): Promise<void>;

  /**
   * Releases the lease, if it is held.
   *
   * @param free - tells what is free, by account; called when no more is granted
   */
  release(free: (lease: HeldLease) => Readonly<Record<string, FreeAllocation>>): Promise<void>;
}

/** What the lease needs. */
export interface HomeLeaseDependencies {
  readonly shard: number;
  /** Name and start of this process. */
  readonly incarnation: string;
  /** Inner address of this process. */
  readonly address: string;
  readonly table: Table;
  readonly follower: Follower;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Rank among the candidates, from 0; nothing when this process is none. */
  candidateRank(): number | undefined;
}

/** Head start of each candidate over the next. Unit: ms. */
const TAKEOVER_RANK_DELAY_MS = 2000;

interface ObservedLease {
  readonly row: LeaseRow;
  /** Monotonic time at which the row was first seen so. Unit: ms. */
  readonly since: number;
}

const isSameLease = (left: LeaseRow, right: LeaseRow): boolean =>
  left.holder === right.holder && left.generation === right.generation && left.beat === right.beat;

/** A shard that never had a home. */
const neverHeldLease: LeaseRow = { holder: '', address: '', generation: 0, beat: 0, free: {} };

const decodeLease = (row: Row | undefined): LeaseRow =>
  row === undefined ? neverHeldLease : leaseAttributes.parse(row.attributes);

const unchangedConditions = (row: LeaseRow): Condition[] => {
  if (row === neverHeldLease) return [{ kind: 'absent' }];
  return [
    { kind: 'equals', attribute: 'holder', value: row.holder },
    { kind: 'equals', attribute: 'generation', value: row.generation },
    { kind: 'equals', attribute: 'beat', value: row.beat },
  ];
};

/**
 * Creates the lease of a shard, not held.
 *
 * @param parts - table, follower and time
 * @returns the lease
 */
export const createHomeLease = (parts: HomeLeaseDependencies): HomeLease => {
  const { shard, incarnation, address, table, follower, clock, journal } = parts;
  const key = getLeaseKey(shard);
  let held: HeldLease | undefined;
  let beat = 0;
  /** Highest generation held; one that was given up is never taken up again, as its book is lost. */
  let lastGeneration = 0;
  /** Time at which the last acknowledged renewal was sent. */
  let renewedAt = -Infinity;
  /** Time before which no share lapses. */
  let settledAt = -Infinity;
  let earlierUntil = Infinity;
  let observation: ObservedLease | undefined;
  let readableSince = Infinity;

  const isRenewed = (): boolean => clock.now() - renewedAt < LEASE_VALIDITY_MS;
  const mayLapse = (): boolean => isRenewed() && clock.now() >= settledAt;
  const ownConditions = ({ generation }: HeldLease): Condition[] => [
    { kind: 'equals', attribute: 'holder', value: incarnation },
    { kind: 'equals', attribute: 'generation', value: generation },
  ];
  const lose = (): void => {
    journal.record('home-lost', { shard, generation: held?.generation });
    held = undefined;
    observation = undefined;
  };
  const acquire = (generation: number, free: LeaseRow['free']): void => {
    const isFirst = generation === 1;
    const now = clock.now();
    held = { generation, acquiredAt: now, inheritedFree: free };
    lastGeneration = generation;
    beat = 0;
    settledAt = isFirst ? -Infinity : now + NO_EXPIRY_AFTER_TAKEOVER_MS;
    earlierUntil = isFirst ? -Infinity : Infinity;
    journal.record('home-acquired', { shard, generation });
  };
  const noteRenewed = (sentAt: number): void => {
    // In the outage holders may have kept their shares past their end.
    if (sentAt - renewedAt > LEASE_VALIDITY_MS) {
      settledAt = Math.max(settledAt, clock.now() + NO_EXPIRY_AFTER_OUTAGE_MS);
    }
    renewedAt = sentAt;
    if (earlierUntil === Infinity && mayLapse()) earlierUntil = settledAt;
  };
  const renewalOf = (lease: HeldLease): LeaseRenewal => {
    // Each attempt has its own beat, as an attempt without an answer may have taken effect.
    beat += 1;
    return {
      write: { kind: 'update', key, set: { beat }, conditions: ownConditions(lease) },
      applyOutcome(outcome, sentAt) {
        if (outcome === 'lost' && held === lease) lose();
        if (outcome === 'renewed' && held === lease) noteRenewed(sentAt);
      },
    };
  };
  const takeOver = async (row: LeaseRow): Promise<void> => {
    await follower.queryDomains();
    if (!follower.mayAcceptEdits()) return;
    const sentAt = clock.now();
    const generation = row.generation + 1;
    const attributes: Attributes = { holder: incarnation, address, generation, beat: 0 };
    const write: Write = { kind: 'put', key, attributes, conditions: unchangedConditions(row) };
    const outcome = await table.transact([write], randomUUID());
    observation = undefined;
    if (outcome.isErr()) return;
    acquire(generation, row.free);
    renewedAt = sentAt;
  };
  const isDue = (row: LeaseRow, sentAt: number, rank: number): boolean => {
    const since = observation?.since ?? Infinity;
    const headStart = rank * TAKEOVER_RANK_DELAY_MS;
    // Nobody holds a free lease, so the first candidate takes it at once.
    if (row.holder === '' || row.holder === incarnation) {
      return headStart === 0 || sentAt - since >= headStart;
    }
    return (
      sentAt - since >= LEASE_TAKEOVER_DELAY_MS + headStart &&
      sentAt - readableSince >= TAKEOVER_MIN_READABLE_MS
    );
  };
  const observe = (row: LeaseRow): void => {
    if (observation && isSameLease(observation.row, row)) return;
    observation = { row, since: clock.now() };
  };
  const forgetReads = (): void => {
    observation = undefined;
    readableSince = Infinity;
  };
  const watch = async (rank: number): Promise<void> => {
    const sentAt = clock.now();
    const read = await table.get(key);
    if (read.isErr()) {
      forgetReads();
      return;
    }
    readableSince = Math.min(readableSince, clock.now());
    const row = decodeLease(read.value);
    // A takeover without an answer took effect; the next step renews before anything is granted.
    if (row.holder === incarnation && row.generation > lastGeneration) acquire(row.generation, {});
    else {
      observe(row);
      if (isDue(row, sentAt, rank)) await takeOver(row);
    }
  };
  return {
    inForce() {
      if (!held) return undefined;
      // Nobody can take the lease while the table accepts no writes.
      return isRenewed() || follower.mode() === 'outage' ? held : undefined;
    },
    canSharesExpire: mayLapse,
    earlierSharesEndAt: () => earlierUntil,
    homeAddress() {
      if (held) return undefined;
      return observation?.row.address === '' ? undefined : observation?.row.address;
    },
    prepareRenewal: () => held && renewalOf(held),
    async poll() {
      if (held) return;
      const rank = parts.candidateRank();
      if (rank === undefined) forgetReads();
      else await watch(rank);
    },
    async release(free) {
      const lease = held;
      held = undefined;
      if (!lease || !isRenewed()) return;
      const attributes: Attributes = {
        holder: '',
        address: '',
        generation: lease.generation,
        beat: beat + 1,
        free: free(lease) as unknown as Attributes,
      };
      const write: Write = { kind: 'put', key, attributes, conditions: ownConditions(lease) };
      await table.transactWithRetry([write], randomUUID(), clock.now() + LEASE_RENEWAL_INTERVAL_MS);
    },
  };
};
