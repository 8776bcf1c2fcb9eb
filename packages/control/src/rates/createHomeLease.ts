/** The lease that makes a process the home of one shard (design 5.2). */
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
  /** Incarnation of the home; empty after the lease was released. */
  holder: z.string(),
  address: z.string(),
  generation: z.int().nonnegative(),
  beat: z.int().nonnegative(),
  /** Free allocations at the time at which the home released the lease, by account. */
  free: z.record(z.string(), freeAllocation).default({}),
});

/** Attributes of a lease row. */
type LeaseRow = z.infer<typeof leaseAttributes>;

/** A lease that this process holds. */
export interface HeldLease {
  readonly generation: number;
  /** Monotonic time at which the lease was acquired. Unit: ms. */
  readonly acquiredAt: number;
  /** Free allocations recorded by the previous home, by account. */
  readonly inheritedFree: Readonly<Record<string, FreeAllocation>>;
}

/** A renewal of a lease, as part of a transaction. */
export interface LeaseRenewal {
  readonly write: Write;
  /**
   * Applies the outcome of the write.
   *
   * @param outcome - outcome of the transaction
   * @param sentAt - monotonic time at which the write was sent. Unit: ms
   */
  applyOutcome(outcome: RenewalOutcome, sentAt: number): void;
}

/** Outcome of a renewal: `lost` if another process has the lease, `unsettled` without a response. */
export type RenewalOutcome = 'renewed' | 'lost' | 'unsettled';

/** The lease of one shard. */
export interface HomeLease {
  /**
   * Returns the lease if this process may act as the home now.
   *
   * @returns the lease; `undefined` otherwise
   */
  inForce(): HeldLease | undefined;

  /**
   * Checks whether shares expire by time: the lease has been renewed without a gap for long enough.
   *
   * @returns whether they expire
   */
  canSharesExpire(): boolean;

  /**
   * Returns the time until which shares of earlier homes may be valid.
   *
   * @returns monotonic time. Unit: ms
   */
  earlierSharesEndAt(): number;

  /**
   * Returns the address of the home according to the last read of the lease row.
   *
   * @returns inner address; `undefined` if the home is unknown or is this process
   */
  homeAddress(): string | undefined;

  /**
   * Prepares a renewal of a held lease.
   *
   * @returns the renewal; `undefined` when the lease is not held
   */
  prepareRenewal(): LeaseRenewal | undefined;

  /** Reads a lease that is not held once, and takes it over when it is due. */
  poll(): Promise<void>;

  /**
   * Releases the lease, if it is held.
   *
   * @param getFree - returns the free allocations by account; called once no more shares are granted
   */
  release(getFree: (lease: HeldLease) => Readonly<Record<string, FreeAllocation>>): Promise<void>;
}

/** Dependencies of {@link HomeLease}. */
export interface HomeLeaseDependencies {
  readonly shard: number;
  /** Identifies this start of the process. */
  readonly incarnation: string;
  /** Inner address of this process. */
  readonly address: string;
  readonly table: Table;
  readonly follower: Follower;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Returns the rank among the candidates, from 0; `undefined` when this process is not a candidate. */
  candidateRank(): number | undefined;
}

/** Delay of each candidate behind the one ranked before it. Unit: ms. */
const TAKEOVER_RANK_DELAY_MS = 2000;

/** A lease row with the time since which it has been unchanged. */
interface ObservedLease {
  readonly row: LeaseRow;
  /** Monotonic time at which the row was first read with these attributes. Unit: ms. */
  readonly since: number;
}

const isSameLease = (left: LeaseRow, right: LeaseRow): boolean =>
  left.holder === right.holder && left.generation === right.generation && left.beat === right.beat;

/** Lease of a shard that never had a home. */
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
 * @param dependencies - table, follower and clock
 * @returns the lease
 */
export const createHomeLease = (dependencies: HomeLeaseDependencies): HomeLease => {
  const { shard, incarnation, address, table, follower, clock, journal } = dependencies;
  const key = getLeaseKey(shard);
  let held: HeldLease | undefined;
  let beat = 0;
  /** Highest generation held. A lost lease is never resumed, as the shares granted under it are forgotten. */
  let lastGeneration = 0;
  /** Monotonic time at which the last successful renewal was sent. Unit: ms. */
  let renewedAt = -Infinity;
  /** Monotonic time before which no share expires. Unit: ms. */
  let expiryAllowedAt = -Infinity;
  let earlierEndAt = Infinity;
  let observed: ObservedLease | undefined;
  let readableSince = Infinity;

  const isRenewed = (): boolean => clock.now() - renewedAt < LEASE_VALIDITY_MS;
  const canSharesExpire = (): boolean => isRenewed() && clock.now() >= expiryAllowedAt;
  const ownConditions = ({ generation }: HeldLease): Condition[] => [
    { kind: 'equals', attribute: 'holder', value: incarnation },
    { kind: 'equals', attribute: 'generation', value: generation },
  ];
  const lose = (): void => {
    journal.record('home-lost', { shard, generation: held?.generation });
    held = undefined;
    observed = undefined;
  };
  const acquire = (generation: number, free: LeaseRow['free']): void => {
    const isFirst = generation === 1;
    const now = clock.now();
    held = { generation, acquiredAt: now, inheritedFree: free };
    lastGeneration = generation;
    beat = 0;
    expiryAllowedAt = isFirst ? -Infinity : now + NO_EXPIRY_AFTER_TAKEOVER_MS;
    earlierEndAt = isFirst ? -Infinity : Infinity;
    journal.record('home-acquired', { shard, generation });
  };
  const recordRenewal = (sentAt: number): void => {
    // Holders may have extended their shares in the outage.
    if (sentAt - renewedAt > LEASE_VALIDITY_MS) {
      expiryAllowedAt = Math.max(expiryAllowedAt, clock.now() + NO_EXPIRY_AFTER_OUTAGE_MS);
    }
    renewedAt = sentAt;
    if (earlierEndAt === Infinity && canSharesExpire()) earlierEndAt = expiryAllowedAt;
  };
  const createRenewal = (lease: HeldLease): LeaseRenewal => {
    // Each attempt has a beat of its own, as an attempt without a response may have taken effect.
    beat += 1;
    return {
      write: { kind: 'update', key, set: { beat }, conditions: ownConditions(lease) },
      applyOutcome(outcome, sentAt) {
        if (outcome === 'lost' && held === lease) lose();
        if (outcome === 'renewed' && held === lease) recordRenewal(sentAt);
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
    observed = undefined;
    if (outcome.isErr()) return;
    acquire(generation, row.free);
    renewedAt = sentAt;
  };
  const isDue = (row: LeaseRow, sentAt: number, rank: number): boolean => {
    const since = observed?.since ?? Infinity;
    const rankDelayMs = rank * TAKEOVER_RANK_DELAY_MS;
    // A released lease has no holder, so the first candidate takes it over at once.
    if (row.holder === '' || row.holder === incarnation) {
      return rankDelayMs === 0 || sentAt - since >= rankDelayMs;
    }
    return (
      sentAt - since >= LEASE_TAKEOVER_DELAY_MS + rankDelayMs &&
      sentAt - readableSince >= TAKEOVER_MIN_READABLE_MS
    );
  };
  const observe = (row: LeaseRow): void => {
    if (observed && isSameLease(observed.row, row)) return;
    observed = { row, since: clock.now() };
  };
  const resetObservation = (): void => {
    observed = undefined;
    readableSince = Infinity;
  };
  const readAndTakeOver = async (rank: number): Promise<void> => {
    const sentAt = clock.now();
    const read = await table.get(key);
    if (read.isErr()) {
      resetObservation();
      return;
    }
    readableSince = Math.min(readableSince, clock.now());
    const row = decodeLease(read.value);
    // A takeover without a response took effect; the lease is renewed before any share is granted.
    if (row.holder === incarnation && row.generation > lastGeneration) acquire(row.generation, {});
    else {
      observe(row);
      if (isDue(row, sentAt, rank)) await takeOver(row);
    }
  };
  return {
    inForce() {
      if (!held) return undefined;
      // No process can take the lease over while the table accepts no writes.
      return isRenewed() || follower.mode() === 'outage' ? held : undefined;
    },
    canSharesExpire,
    earlierSharesEndAt: () => earlierEndAt,
    homeAddress() {
      if (held) return undefined;
      return observed?.row.address === '' ? undefined : observed?.row.address;
    },
    prepareRenewal: () => held && createRenewal(held),
    async poll() {
      if (held) return;
      const rank = dependencies.candidateRank();
      if (rank === undefined) resetObservation();
      else await readAndTakeOver(rank);
    },
    async release(getFree) {
      const lease = held;
      held = undefined;
      if (!lease || !isRenewed()) return;
      const attributes: Attributes = {
        holder: '',
        address: '',
        generation: lease.generation,
        beat: beat + 1,
        free: getFree(lease) as unknown as Attributes,
      };
      const write: Write = { kind: 'put', key, attributes, conditions: ownConditions(lease) };
      await table.transactWithRetry([write], randomUUID(), clock.now() + LEASE_RENEWAL_INTERVAL_MS);
    },
  };
};
