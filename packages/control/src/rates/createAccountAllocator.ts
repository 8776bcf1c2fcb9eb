/** Allocates the rate and burst of one client account: the bucket of the home and the shares of the holders. */
import type { Demand, Share } from '@jacinthlug/protocol/messages';
import {
  noAllocation,
  SHARE_RESPONSE_TIMEOUT_MS,
  SHARE_VALIDITY_MS,
  SINGLE_SHARE_VALIDITY_MS,
  type Allocation,
} from './shareTiming.js';

/** Fraction of the rate that is distributed among holders; the rest refills the bucket of the home. */
const DISTRIBUTED_RATE_FRACTION = 0.98;

/** Fraction of the burst that is distributed; the rest is reserved for the first share of a new holder. */
const DISTRIBUTED_CAPACITY_FRACTION = 0.8;

/**
 * Minimum capacity of a lasting share. With less, a bucket refuses callers within their rate whenever
 * two requests arrive close together, so the holder gets tokens for single requests instead.
 */
const MIN_LASTING_CAPACITY = 4;

/** The capacity of a share is sized for the arrivals of this time. Unit: s. */
const CAPACITY_SECONDS = 4;

/** Maximum ratio of the rate that a holder gets to its arrival rate, while enough rate is free. */
const RATE_HEADROOM_FACTOR = 2;

/** A share is reduced only if its target is below this fraction of it, to avoid oscillation. */
const REDUCTION_THRESHOLD = 0.9;

/** Tolerance for rounding errors in sums of fractions of a token. */
const TOLERANCE = 1e-9;

/** Minimum arrival rate that is assumed for a holder. Unit: requests a second. */
const MIN_ARRIVAL_RATE = 0.01;

/** Allocation that no holder has, as recorded by the home that released the lease. */
export interface FreeAllocation extends Allocation {
  readonly tokens: number;
}

/** Rate and burst of an account according to the configuration. */
export interface AccountLimits {
  readonly rate: number;
  readonly burst: number;
}

/** Allocation that a holder may have until it states another one or its share expires. */
interface HolderAllocation extends Allocation {
  /** Monotonic time at which the share expires. Unit: ms. */
  readonly until: number;
  /** Whether the share is for a single request; holders don't extend such a share in an outage. */
  readonly isSingleRequest: boolean;
  /** Portion that was granted by an earlier home, and so isn't taken from the free allocation. */
  readonly inherited: Allocation;
}

/** Last demand of a holder. */
interface KnownDemand {
  readonly arrivalRate: number;
  readonly at: number;
}

/** Allocates the rate and burst of one account. */
export interface AccountAllocator {
  /**
   * Grants a share according to the demand of a holder.
   *
   * @param holder - incarnation of the holder
   * @param demand - demand of the holder
   * @param returned - tokens that the holder returns to the home
   * @returns the share; `undefined` while shares of earlier homes may use up the whole allocation
   */
  grant(holder: string, demand: Demand, returned: number): Share | undefined;

  /**
   * Releases the share of a holder.
   *
   * @param holder - incarnation of the holder
   * @param returned - tokens that the holder returns to the home
   */
  release(holder: string, returned: number): void;

  /**
   * Returns the allocation that no holder has.
   *
   * @returns the free rate and capacity, and the tokens in the bucket of the home
   */
  getFree(): FreeAllocation;
}

/** Dependencies of {@link AccountAllocator}. */
export interface AccountAllocatorDependencies {
  readonly account: string;
  readonly generation: number;
  /** Free allocation recorded by a home that released the lease; `undefined` means that nothing is free. */
  readonly inheritedFree: FreeAllocation | undefined;
  now(): number;
  limits(): AccountLimits;
  /** Checks whether shares expire by time; they don't in an outage and `NO_EXPIRY_AFTER_OUTAGE_MS` after it. */
  canSharesExpire(): boolean;
  /**
   * Returns the time until which shares of earlier homes may be valid.
   *
   * @returns monotonic time; `Infinity` while it is unknown, `-Infinity` for the first home. Unit: ms
   */
  earlierSharesEndAt(): number;
  /** Monotonic time at which this home took over. Unit: ms. */
  readonly acquiredAt: number;
}

const sum = (amounts: readonly number[]): number =>
  amounts.reduce((total, amount) => total + amount, 0);

const maxAllocation = (left: Allocation, right: Allocation): Allocation => ({
  rate: Math.max(left.rate, right.rate),
  capacity: Math.max(left.capacity, right.capacity),
});

/**
 * Returns the amount that may be granted: all but a reserve for the next new holder, or half of the free
 * amount when less than two reserves are free.
 */
const spendable = (free: number, reserve: number): number => Math.max(0, free - reserve, free / 2);

/** Moves an amount towards its target, as far as the free amount allows. */
const adjustTowards = (stated: number, target: number, free: number, reserve: number): number => {
  if (target > stated) return Math.min(target, stated + spendable(free, reserve));
  return target < stated * REDUCTION_THRESHOLD || free < 0 ? target : stated;
};

/**
 * Creates the allocator of an account at a new home.
 *
 * @param dependencies - account, clock and limits
 * @returns the allocator
 */
export const createAccountAllocator = (
  dependencies: AccountAllocatorDependencies,
): AccountAllocator => {
  const { account, generation, inheritedFree } = dependencies;
  const holdings = new Map<string, HolderAllocation>();
  const demands = new Map<string, KnownDemand>();
  const isFirst = dependencies.earlierSharesEndAt() === -Infinity;
  let tokens = isFirst ? dependencies.limits().burst : (inheritedFree?.tokens ?? 0);
  let refilledAt = isFirst ? dependencies.now() : dependencies.acquiredAt;
  /** Whether shares of earlier homes may be valid; until then only `inheritedFree` may be granted. */
  let hasEarlierShares = !isFirst;

  const sumOwnGrants = (others: readonly HolderAllocation[], name: keyof Allocation): number =>
    sum(others.map((held) => Math.max(0, held[name] - held.inherited[name])));
  /** Computes the allocation that no holder other than `except` has from this home or an earlier one. */
  const computeFree = (except?: string): Allocation => {
    const { rate, burst } = dependencies.limits();
    const others = [...holdings].filter(([holder]) => holder !== except).map(([, held]) => held);
    const free = {
      rate: rate - sum(others.map((held) => held.rate)),
      capacity: burst - sum(others.map((held) => held.capacity)),
    };
    if (!hasEarlierShares) return free;
    return {
      rate: Math.min(free.rate, (inheritedFree?.rate ?? 0) - sumOwnGrants(others, 'rate')),
      capacity: Math.min(
        free.capacity,
        (inheritedFree?.capacity ?? 0) - sumOwnGrants(others, 'capacity'),
      ),
    };
  };
  const dropExpired = (now: number): void => {
    holdings.forEach(({ until, isSingleRequest }, holder) => {
      if (now > until && (isSingleRequest || dependencies.canSharesExpire()))
        holdings.delete(holder);
    });
    demands.forEach(({ at }, holder) => {
      if (now - at > SHARE_VALIDITY_MS) demands.delete(holder);
    });
  };
  const refillUntil = (until: number): void => {
    const { rate, capacity } = computeFree();
    const refilled = tokens + (Math.max(0, rate) * Math.max(0, until - refilledAt)) / 1000;
    tokens = Math.min(Math.max(0, capacity), refilled);
    refilledAt = Math.max(refilledAt, until);
  };
  /**
   * Refills the bucket of the home. An expired share counts as held until now, as the home doesn't
   * observe its expiry.
   */
  const refill = (): void => {
    const now = dependencies.now();
    const earlierEndAt = dependencies.earlierSharesEndAt();
    if (hasEarlierShares && earlierEndAt <= now) {
      refillUntil(earlierEndAt);
      hasEarlierShares = false;
    }
    refillUntil(now);
    dropExpired(now);
  };
  /** Returns the allocation that a holder states, unless the statement is outdated. */
  const getStatedAllocation = (holder: string, demand: Demand): Allocation => {
    const isKnown = holdings.has(holder);
    const isFromEarlierHome = demand.generation < generation && hasEarlierShares;
    // The share has expired here, so the statement comes from a delayed request.
    if (!isKnown && !isFromEarlierHome) return noAllocation;
    return { rate: demand.heldRate, capacity: demand.heldCapacity };
  };
  const getArrivalRate = (holder: string): number =>
    Math.max(MIN_ARRIVAL_RATE, demands.get(holder)?.arrivalRate ?? 0);
  const computeWantedCapacity = (holder: string): number =>
    Math.max(MIN_LASTING_CAPACITY, getArrivalRate(holder) * CAPACITY_SECONDS);
  /** Computes the fair capacity of a holder; small demands are met first (max-min fairness). */
  const computeFairCapacity = (holder: string): number => {
    const wanted = [...demands.keys()]
      .map(computeWantedCapacity)
      .sort((left, right) => left - right);
    let remaining = dependencies.limits().burst * DISTRIBUTED_CAPACITY_FRACTION;
    for (const [index, amount] of wanted.entries()) {
      const fair = remaining / (wanted.length - index);
      if (amount >= fair) return Math.min(computeWantedCapacity(holder), fair);
      remaining -= amount;
    }
    return computeWantedCapacity(holder);
  };
  /**
   * Computes the fair rate of a holder, in proportion to its arrivals. The home keeps half of the rate
   * that no holder needs: a full bucket of a holder loses its surplus, while the bucket of the home
   * serves any holder that runs out of tokens.
   */
  const computeFairRate = (holder: string): number => {
    const { rate } = dependencies.limits();
    const own = getArrivalRate(holder);
    const total = sum([...demands.keys()].map(getArrivalRate));
    const spare = Math.max(0, rate - total);
    const distributed = Math.min(rate * DISTRIBUTED_RATE_FRACTION, total + spare / 2);
    return Math.min(own * RATE_HEADROOM_FACTOR, (distributed * own) / total);
  };
  /** Computes the maximum tokens of the holder when the response arrives, at most 1 s after its request. */
  const computeTokensOnArrival = (stated: Allocation, demand: Demand): number =>
    Math.min(stated.capacity, demand.tokens + (stated.rate * SHARE_RESPONSE_TIMEOUT_MS) / 1000);
  const credit = (returned: number): void => {
    tokens = Math.min(Math.max(0, computeFree().capacity), tokens + returned);
  };
  const debit = (wanted: number): number => {
    // A grant of less than one token doesn't allow a request.
    if (wanted < 1 || tokens < wanted) return 0;
    tokens -= wanted;
    return wanted;
  };
  const recordGrant = (
    holder: string,
    stated: Allocation,
    granted: Allocation,
    validMs: number,
  ): void => {
    const now = dependencies.now();
    const isSingleRequest =
      validMs === SINGLE_SHARE_VALIDITY_MS && stated.rate === 0 && stated.capacity === 0;
    const inherited = holdings.get(holder)?.inherited ?? (hasEarlierShares ? stated : noAllocation);
    // The response may be lost, so the larger of the stated and the granted allocation counts.
    const counted = maxAllocation(stated, granted);
    const until = now + (isSingleRequest ? SINGLE_SHARE_VALIDITY_MS : SHARE_VALIDITY_MS);
    holdings.set(holder, { ...counted, until, isSingleRequest, inherited });
  };
  /** Computes the amount by which the allocation of a holder may grow. */
  const computeHeadroom = (holder: string, stated: Allocation): Allocation => {
    const free = computeFree(holder);
    const inherited = holdings.get(holder)?.inherited ?? (hasEarlierShares ? stated : noAllocation);
    const own = (name: keyof Allocation): number =>
      hasEarlierShares ? Math.max(0, stated[name] - inherited[name]) : stated[name];
    return { rate: free.rate - own('rate'), capacity: free.capacity - own('capacity') };
  };
  /** Computes the target allocation of a holder. What no holder needs stays with the home for the next one. */
  const computeTarget = (holder: string): Allocation => ({
    rate: computeFairRate(holder),
    capacity: Math.floor(computeFairCapacity(holder)),
  });
  const computeLastingAllocation = (
    holder: string,
    stated: Allocation,
    headroom: Allocation,
  ): Allocation | undefined => {
    const { rate, burst } = dependencies.limits();
    const target = computeTarget(holder);
    if (target.capacity < MIN_LASTING_CAPACITY) return undefined;
    const reserve = burst * (1 - DISTRIBUTED_CAPACITY_FRACTION);
    const capacity = Math.floor(
      adjustTowards(stated.capacity, target.capacity, headroom.capacity, reserve),
    );
    if (capacity < 1) return undefined;
    const rateReserve = rate * (1 - DISTRIBUTED_RATE_FRACTION);
    return { rate: adjustTowards(stated.rate, target.rate, headroom.rate, rateReserve), capacity };
  };
  const grantLasting = (
    holder: string,
    demand: Demand,
    stated: Allocation,
    allocation: Allocation,
  ): Share => {
    const tokensAtArrival = computeTokensOnArrival(stated, demand);
    recordGrant(holder, stated, allocation, SHARE_VALIDITY_MS);
    // Tokens are granted up to half of the capacity, as those kept here are available to any holder.
    // Tokens that no longer fit here once the capacity has moved to the holder are granted as well.
    const level = Math.min(
      allocation.capacity,
      Math.max(allocation.capacity / 2, MIN_LASTING_CAPACITY),
    );
    const overflow = tokens - Math.max(0, computeFree().capacity);
    const reserve = dependencies.limits().burst * (1 - DISTRIBUTED_CAPACITY_FRACTION) * 0.5;
    // A response that arrives early finds the bucket as stated, so the level is measured from the stated
    // tokens; the capacity must not be exceeded by a response that arrives at the timeout either.
    const missing = level - demand.tokens;
    const wanted = Math.max(overflow, Math.min(missing, spendable(tokens, reserve)));
    const granted = debit(Math.min(allocation.capacity - tokensAtArrival, wanted));
    return { account, generation, ...allocation, tokens: granted, validMs: SHARE_VALIDITY_MS };
  };
  const grantSingle = (
    holder: string,
    demand: Demand,
    stated: Allocation,
    headroom: Allocation,
  ): Share => {
    const hasRoom = stated.capacity + headroom.capacity >= 1;
    const isGranted = hasRoom && tokens >= 1 && computeTokensOnArrival(stated, demand) < TOLERANCE;
    const granted = isGranted ? 1 : 0;
    // Capacity without a token would only reduce the capacity of the bucket of the home.
    const allocation = { rate: 0, capacity: Math.max(granted, Math.min(1, stated.capacity)) };
    tokens -= granted;
    recordGrant(holder, stated, allocation, SINGLE_SHARE_VALIDITY_MS);
    return {
      account,
      generation,
      ...allocation,
      tokens: granted,
      validMs: SINGLE_SHARE_VALIDITY_MS,
    };
  };
  /** Confirms the allocation that a holder has from an earlier home, which must not grow yet. */
  const confirmEarlierShare = (holder: string, stated: Allocation): Share | undefined => {
    if (stated.capacity === 0 && stated.rate === 0) return undefined;
    recordGrant(holder, stated, stated, SHARE_VALIDITY_MS);
    return { account, generation, ...stated, tokens: 0, validMs: SHARE_VALIDITY_MS };
  };
  return {
    grant(holder, demand, returned) {
      refill();
      const stated = getStatedAllocation(holder, demand);
      demands.set(holder, { arrivalRate: demand.arrivalRate, at: dependencies.now() });
      const known = holdings.get(holder);
      if (known) holdings.set(holder, { ...known, ...stated });
      credit(returned);
      const headroom = computeHeadroom(holder, stated);
      if (hasEarlierShares && headroom.capacity < 1) return confirmEarlierShare(holder, stated);
      const allocation = computeLastingAllocation(holder, stated, headroom);
      return allocation
        ? grantLasting(holder, demand, stated, allocation)
        : grantSingle(holder, demand, stated, headroom);
    },
    release(holder, returned) {
      refill();
      holdings.delete(holder);
      demands.delete(holder);
      credit(returned);
    },
    getFree() {
      refill();
      const { rate, capacity } = computeFree();
      return { rate: Math.max(0, rate), capacity: Math.max(0, capacity), tokens };
    },
  };
};
