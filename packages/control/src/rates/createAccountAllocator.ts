/** The home's book on one client account: its own bucket and what holders may hold. */
import type { Demand, Share } from '@jacinthlug/protocol/messages';
import {
  noAllocation,
  SHARE_RESPONSE_TIMEOUT_MS,
  SHARE_VALIDITY_MS,
  SINGLE_SHARE_VALIDITY_MS,
  type Allocation,
} from './shareTiming.js';

/** Part of the rate that is divided among holders; the rest fills the home's bucket. */
const DISTRIBUTED_RATE_FRACTION = 0.98;

/** Part of the burst that is divided; the rest lets a new holder get something at once. */
const DISTRIBUTED_CAPACITY_FRACTION = 0.8;

/**
 * Smallest capacity that is worth a lasting share. Below it a bucket refuses callers within their
 * rate whenever two requests come close together, so the holder gets tokens for single requests.
 */
const MIN_LASTING_CAPACITY = 4;

/** Time whose arrivals the capacity of a share is to hold. Unit: s. */
const CAPACITY_SECONDS = 4;

/** Rate that a holder gets for each request a second that arrives, while others leave it. */
const RATE_HEADROOM_FACTOR = 2;

/** A share is lowered only when the holder needs at most this part of it, to avoid swings. */
const REDUCTION_THRESHOLD = 0.9;

/** Rounding errors of sums of fractions of a token. */
const TOLERANCE = 1e-9;

/** Least arrival rate that a holder counts with. Unit: requests a second. */
const MIN_ARRIVAL_RATE = 0.01;

/** What a released home knew to be free: not held by anyone. */
export interface FreeAllocation extends Allocation {
  readonly tokens: number;
}

/** The rate and burst of an account as the configuration has them. */
export interface AccountLimits {
  readonly rate: number;
  readonly burst: number;
}

/** What a holder may hold until it states otherwise or the share lapses. */
interface HolderAllocation extends Allocation {
  readonly until: number;
  /** A holder never extends a share for one request in an outage. */
  readonly isSingleRequest: boolean;
  /** What of it was granted by an earlier home, and so is not taken from the free part. */
  readonly inherited: Allocation;
}

interface KnownDemand {
  readonly arrivalRate: number;
  readonly at: number;
}

/** Book on one account. */
export interface AccountAllocator {
  /**
   * Answers the demand of a holder.
   *
   * @param holder - incarnation of the holder
   * @param demand - what it states
   * @param returned - tokens that it removed from its bucket for the home
   * @returns the share; nothing while an earlier home's shares may use up everything
   */
  grant(holder: string, demand: Demand, returned: number): Share | undefined;

  /**
   * Takes the whole share of a holder back.
   *
   * @param holder - incarnation of the holder
   * @param returned - tokens that it removed from its bucket for the home
   */
  release(holder: string, returned: number): void;

  /**
   * Tells what nobody holds.
   *
   * @returns the free part and the tokens of the home's bucket
   */
  getFree(): FreeAllocation;
}

/** What the book needs. */
export interface AccountAllocatorDependencies {
  readonly account: string;
  readonly generation: number;
  /** Free part told by a home that released the lease; nothing is free otherwise. */
  readonly inheritedFree: FreeAllocation | undefined;
  now(): number;
  limits(): AccountLimits;
  /** Whether shares lapse by time now; not in an outage and the 10 s after it. */
  canSharesExpire(): boolean;
  /**
   * Tells until when shares of earlier homes may be in force.
   *
   * @returns monotonic time; `Infinity` while it is not known, `-Infinity` for the first home. Unit: ms
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

/** Leaves a reserve for the next new holder: at most half of what is free, once it is scarce. */
const spendable = (free: number, reserve: number): number => Math.max(0, free - reserve, free / 2);

/** Moves a held amount to its target, as far as the free amount allows. */
const adjustTowards = (stated: number, target: number, free: number, reserve: number): number => {
  if (target > stated) return Math.min(target, stated + spendable(free, reserve));
  return target < stated * REDUCTION_THRESHOLD || free < 0 ? target : stated;
};

/**
 * Opens the book of a new home.
 *
 * @param parts - account, time and limits
 * @returns the book
 */
export const createAccountAllocator = (parts: AccountAllocatorDependencies): AccountAllocator => {
  const { account, generation, inheritedFree } = parts;
  const holdings = new Map<string, HolderAllocation>();
  const demands = new Map<string, KnownDemand>();
  const isFirst = parts.earlierSharesEndAt() === -Infinity;
  let tokens = isFirst ? parts.limits().burst : (inheritedFree?.tokens ?? 0);
  let accruedAt = isFirst ? parts.now() : parts.acquiredAt;
  /** Whether shares of an earlier home may be in force; then only what that home told is free. */
  let hasEarlierShares = !isFirst;

  const taken = (others: readonly HolderAllocation[], name: keyof Allocation): number =>
    sum(others.map((held) => Math.max(0, held[name] - held.inherited[name])));
  /** Computes what neither holders, except one, nor an earlier home may have given out. */
  const freePart = (except?: string): Allocation => {
    const { rate, burst } = parts.limits();
    const others = [...holdings].filter(([holder]) => holder !== except).map(([, held]) => held);
    const free = {
      rate: rate - sum(others.map((held) => held.rate)),
      capacity: burst - sum(others.map((held) => held.capacity)),
    };
    if (!hasEarlierShares) return free;
    return {
      rate: Math.min(free.rate, (inheritedFree?.rate ?? 0) - taken(others, 'rate')),
      capacity: Math.min(free.capacity, (inheritedFree?.capacity ?? 0) - taken(others, 'capacity')),
    };
  };
  const dropLapsed = (now: number): void => {
    holdings.forEach(({ until, isSingleRequest: isSingle }, holder) => {
      if (now > until && (isSingle || parts.canSharesExpire())) holdings.delete(holder);
    });
    demands.forEach(({ at }, holder) => {
      if (now - at > SHARE_VALIDITY_MS) demands.delete(holder);
    });
  };
  const fill = (until: number): void => {
    const { rate, capacity } = freePart();
    const filled = tokens + (Math.max(0, rate) * Math.max(0, until - accruedAt)) / 1000;
    tokens = Math.min(Math.max(0, capacity), filled);
    accruedAt = Math.max(accruedAt, until);
  };
  /** Fills the home's bucket. Lapsed shares count until now, as nobody saw them lapse. */
  const accrue = (): void => {
    const now = parts.now();
    const earlierUntil = parts.earlierSharesEndAt();
    if (hasEarlierShares && earlierUntil <= now) {
      fill(earlierUntil);
      hasEarlierShares = false;
    }
    fill(now);
    dropLapsed(now);
  };
  /** Decides how much of a statement may be true at this moment. */
  const trusted = (holder: string, demand: Demand): Allocation => {
    const isKnown = holdings.has(holder);
    const isEarlier = demand.generation < generation && hasEarlierShares;
    // A statement on a share that lapsed here comes from a question that was delayed.
    if (!isKnown && !isEarlier) return noAllocation;
    return { rate: demand.heldRate, capacity: demand.heldCapacity };
  };
  const arrivalRateOf = (holder: string): number =>
    Math.max(MIN_ARRIVAL_RATE, demands.get(holder)?.arrivalRate ?? 0);
  const wantedCapacity = (holder: string): number =>
    Math.max(MIN_LASTING_CAPACITY, arrivalRateOf(holder) * CAPACITY_SECONDS);
  /** Divides the burst so that small demands are met first (max-min fairness). */
  const fairCapacity = (holder: string): number => {
    const wanted = [...demands.keys()].map(wantedCapacity).sort((left, right) => left - right);
    let left = parts.limits().burst * DISTRIBUTED_CAPACITY_FRACTION;
    for (const [index, amount] of wanted.entries()) {
      const fair = left / (wanted.length - index);
      if (amount >= fair) return Math.min(wantedCapacity(holder), fair);
      left -= amount;
    }
    return wantedCapacity(holder);
  };
  /**
   * Divides the rate in proportion to the arrivals. Of what nobody needs, the home keeps half: a full
   * bucket of a holder loses what it cannot take, while the home's serves whoever runs out.
   */
  const fairRate = (holder: string): number => {
    const { rate } = parts.limits();
    const own = arrivalRateOf(holder);
    const total = sum([...demands.keys()].map(arrivalRateOf));
    const spare = Math.max(0, rate - total);
    const divided = Math.min(rate * DISTRIBUTED_RATE_FRACTION, total + spare / 2);
    return Math.min(own * RATE_HEADROOM_FACTOR, (divided * own) / total);
  };
  /** Bounds the tokens of the holder when the answer arrives, at most 1 s after its question. */
  const tokensOnArrival = (stated: Allocation, demand: Demand): number =>
    Math.min(stated.capacity, demand.tokens + (stated.rate * SHARE_RESPONSE_TIMEOUT_MS) / 1000);
  const credit = (returned: number): void => {
    tokens = Math.min(Math.max(0, freePart().capacity), tokens + returned);
  };
  const debit = (wanted: number): number => {
    // Less than one token serves no request.
    if (wanted < 1 || tokens < wanted) return 0;
    tokens -= wanted;
    return wanted;
  };
  const record = (
    holder: string,
    stated: Allocation,
    granted: Allocation,
    validMs: number,
  ): void => {
    const now = parts.now();
    const isSingle =
      validMs === SINGLE_SHARE_VALIDITY_MS && stated.rate === 0 && stated.capacity === 0;
    const inherited = holdings.get(holder)?.inherited ?? (hasEarlierShares ? stated : noAllocation);
    // The answer may be lost, so the larger of the stated and the granted part counts.
    const counted = maxAllocation(stated, granted);
    const until = now + (isSingle ? SINGLE_SHARE_VALIDITY_MS : SHARE_VALIDITY_MS);
    holdings.set(holder, { ...counted, until, isSingleRequest: isSingle, inherited });
  };
  /** Computes what may be added to the part that a holder has. */
  const headroom = (holder: string, stated: Allocation): Allocation => {
    const free = freePart(holder);
    const inherited = holdings.get(holder)?.inherited ?? (hasEarlierShares ? stated : noAllocation);
    const own = (name: keyof Allocation): number =>
      hasEarlierShares ? Math.max(0, stated[name] - inherited[name]) : stated[name];
    return { rate: free.rate - own('rate'), capacity: free.capacity - own('capacity') };
  };
  /** Computes what a holder should have. What nobody needs stays here for the next holder. */
  const targetOf = (holder: string): Allocation => ({
    rate: fairRate(holder),
    capacity: Math.floor(fairCapacity(holder)),
  });
  const lastingPart = (
    holder: string,
    stated: Allocation,
    room: Allocation,
  ): Allocation | undefined => {
    const { rate, burst } = parts.limits();
    const target = targetOf(holder);
    if (target.capacity < MIN_LASTING_CAPACITY) return undefined;
    const reserve = burst * (1 - DISTRIBUTED_CAPACITY_FRACTION);
    const capacity = Math.floor(
      adjustTowards(stated.capacity, target.capacity, room.capacity, reserve),
    );
    if (capacity < 1) return undefined;
    const rateReserve = rate * (1 - DISTRIBUTED_RATE_FRACTION);
    return { rate: adjustTowards(stated.rate, target.rate, room.rate, rateReserve), capacity };
  };
  const grantLasting = (
    holder: string,
    demand: Demand,
    stated: Allocation,
    part: Allocation,
  ): Share => {
    const expected = tokensOnArrival(stated, demand);
    record(holder, stated, part, SHARE_VALIDITY_MS);
    // Tokens that fill a bucket beyond half are of more use here, where any holder finds them, except
    // for those that no longer fit here once the capacity has moved to the holder.
    const level = Math.min(part.capacity, Math.max(part.capacity / 2, MIN_LASTING_CAPACITY));
    const overflow = tokens - Math.max(0, freePart().capacity);
    const reserve = parts.limits().burst * (1 - DISTRIBUTED_CAPACITY_FRACTION) * 0.5;
    // An answer that comes early finds the bucket as stated, so the level is measured from there; only the
    // capacity must hold for the latest answer.
    const missing = level - demand.tokens;
    const wanted = Math.max(overflow, Math.min(missing, spendable(tokens, reserve)));
    const granted = debit(Math.min(part.capacity - expected, wanted));
    return { account, generation, ...part, tokens: granted, validMs: SHARE_VALIDITY_MS };
  };
  const grantSingle = (
    holder: string,
    demand: Demand,
    stated: Allocation,
    room: Allocation,
  ): Share => {
    const hasRoom = stated.capacity + room.capacity >= 1;
    const isGranted = hasRoom && tokens >= 1 && tokensOnArrival(stated, demand) < TOLERANCE;
    const granted = isGranted ? 1 : 0;
    // A capacity without a token would only lower what the home's bucket can hold.
    const part = { rate: 0, capacity: Math.max(granted, Math.min(1, stated.capacity)) };
    tokens -= granted;
    record(holder, stated, part, SINGLE_SHARE_VALIDITY_MS);
    return { account, generation, ...part, tokens: granted, validMs: SINGLE_SHARE_VALIDITY_MS };
  };
  /** Leaves a holder what it has from an earlier home; nobody may get more of that yet. */
  const keepEarlier = (holder: string, stated: Allocation): Share | undefined => {
    if (stated.capacity === 0 && stated.rate === 0) return undefined;
    record(holder, stated, stated, SHARE_VALIDITY_MS);
    return { account, generation, ...stated, tokens: 0, validMs: SHARE_VALIDITY_MS };
  };
  return {
    grant(holder, demand, returned) {
      accrue();
      const stated = trusted(holder, demand);
      demands.set(holder, { arrivalRate: demand.arrivalRate, at: parts.now() });
      const known = holdings.get(holder);
      if (known) holdings.set(holder, { ...known, ...stated });
      credit(returned);
      const room = headroom(holder, stated);
      if (hasEarlierShares && room.capacity < 1) return keepEarlier(holder, stated);
      const part = lastingPart(holder, stated, room);
      return part
        ? grantLasting(holder, demand, stated, part)
        : grantSingle(holder, demand, stated, room);
    },
    release(holder, returned) {
      accrue();
      holdings.delete(holder);
      demands.delete(holder);
      credit(returned);
    },
    getFree() {
      accrue();
      const { rate, capacity } = freePart();
      return { rate: Math.max(0, rate), capacity: Math.max(0, capacity), tokens };
    },
  };
};
