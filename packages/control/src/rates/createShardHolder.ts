/** Holds the shares of one shard: asks the home, renews and gives back. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { PeerFailure } from '@jacinthlug/protocol/controlClient';
import type { Demand, ShareResponse, ShareRequest } from '@jacinthlug/protocol/messages';
import { err, type Result } from 'neverthrow';
import type { Clock } from '../time/Clock.js';
import type { AccountLimits } from './createAccountAllocator.js';
import { createArrivalRate, type ArrivalRate } from './createArrivalRate.js';
import { createHeldShare, type HeldShare } from './createHeldShare.js';
import { SHARE_RESPONSE_TIMEOUT_MS, SHARE_RENEWAL_INTERVAL_MS } from './shareTiming.js';

/** A share is given back after this time without a request. Unit: ms. */
const SHARE_IDLE_TIMEOUT_MS = 10_000;

/** Homes that are tried for one question. */
const MAX_HOME_HOPS = 3;

/** Time between questions while a share is empty. Unit: ms. */
const EMPTY_SHARE_REQUEST_INTERVAL_MS = 250;

/** Time between questions while the home has nothing to give. Unit: ms. */
const NO_SHARE_REQUEST_INTERVAL_MS = 50;

/** An account that is used on this process. */
export interface HeldAccount {
  readonly name: string;
  readonly share: HeldShare;
  readonly arrivals: ArrivalRate;
}

/** Holds the shares of one shard. */
export interface ShardHolder {
  /**
   * Gives an account, from its first request on.
   *
   * @param name - name of the account
   * @returns the account
   */
  getAccount(name: string): HeldAccount;

  /**
   * Asks the home, unless it was asked too recently for its answer to differ.
   *
   * @param account - account that lacks tokens
   * @returns whether an answer came
   */
  requestTokens(account: HeldAccount): Promise<boolean>;

  /**
   * Counts a refused request.
   *
   * @param account - its account
   */
  recordRefusal(account: HeldAccount): void;

  /** Renews the shares when they are due, and gives back those that are idle. */
  renewShares(): Promise<void>;

  /**
   * Keeps shares past their end, in an outage.
   *
   * @param until - monotonic time. Unit: ms
   */
  extendShares(until: number): void;

  /** Gives all shares back. */
  releaseShares(): Promise<void>;
}

/** What the holder needs. */
export interface ShardHolderDependencies {
  readonly shard: number;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  getLimits(account: string): AccountLimits | undefined;
  /**
   * Sends a question.
   *
   * @param question - what is asked
   * @param failures - how many attempts failed since the home last answered
   * @returns the answer, or why there is none
   */
  send(question: ShareRequest, failures: number): Promise<Result<ShareResponse, PeerFailure>>;
}

const noLimits: AccountLimits = { rate: 0, burst: 0 };

/**
 * Creates the holder of a shard, without shares.
 *
 * @param parts - home, time and limits
 * @returns the holder
 */
export const createShardHolder = (parts: ShardHolderDependencies): ShardHolder => {
  const { shard, incarnation, clock, metrics, getLimits: limitsOf, send } = parts;
  const accounts = new Map<string, HeldAccount>();
  const refusals = new Map<string, number>();
  /** Accounts with requests that wait for an answer. */
  const waiting = new Map<string, number>();
  /** Accounts for which the home had no token at the last question. */
  const starved = new Set<string>();
  let sequence = 0;
  let failures = 0;
  let askedAt = -Infinity;
  let pending: Promise<boolean> | undefined;

  const demandOf = ({ name, share, arrivals }: HeldAccount): Demand => {
    const { rate, capacity, tokens, generation } = share.getState();
    return {
      account: name,
      arrivalRate: arrivals.getRate(),
      refused: refusals.get(name) ?? 0,
      tokens,
      heldRate: rate,
      heldCapacity: capacity,
      generation,
    };
  };
  const isIdle = ({ arrivals }: HeldAccount): boolean =>
    clock.now() - arrivals.lastArrivalAt() > SHARE_IDLE_TIMEOUT_MS;
  /** Tells whether the home must hear of an account; tokens for one request would be wasted else. */
  const isInUse = ({ name, share }: HeldAccount): boolean => share.isValid() || waiting.has(name);
  const questionOf = (giveUp: readonly HeldAccount[]): ShareRequest => {
    const kept = [...accounts.values()].filter((account) => !giveUp.includes(account));
    sequence += 1;
    const surplus = kept.map(({ name, share }) => ({
      account: name,
      tokens: share.removeSurplus(),
    }));
    const demands = kept.filter(isInUse).map(demandOf);
    refusals.clear();
    const released = giveUp.map(({ name, share }) => ({ account: name, tokens: share.release() }));
    const returned = surplus.filter(({ tokens }) => tokens > 0);
    return { incarnation, sequence, shard, demands, released: [...returned, ...released] };
  };
  const applyAnswer = (answer: ShareResponse, sentAt: number): boolean => {
    if (answer.kind !== 'granted') return false;
    accounts.forEach((account) => {
      if (isInUse(account)) starved.add(account.name);
    });
    answer.shares.forEach((share) => {
      accounts.get(share.account)?.share.apply(share, sentAt);
      if (share.tokens > 0) starved.delete(share.account);
    });
    return true;
  };
  /** Asks once. A question that gets no answer in time loses the tokens that it returned. */
  const askOnce = async (giveUp: readonly HeldAccount[]): Promise<boolean> => {
    const sentAt = clock.now();
    const answer = await send(questionOf(giveUp), failures);
    const isLate = clock.now() - sentAt > SHARE_RESPONSE_TIMEOUT_MS;
    const result = isLate
      ? err<ShareResponse, PeerFailure>({ kind: 'unreachable', message: 'late' })
      : answer;
    const outcome = result.isErr() ? result.error.kind : result.value.kind;
    metrics.count('shares.requests', { outcome });
    const isApplied = result.isOk() && applyAnswer(result.value, sentAt);
    failures = isApplied ? 0 : failures + 1;
    return isApplied;
  };
  const askHops = async (giveUp: readonly HeldAccount[]): Promise<boolean> => {
    askedAt = clock.now();
    for (let hop = 0; hop < MAX_HOME_HOPS; hop += 1) {
      const hopAt = clock.now();
      if (await askOnce(giveUp)) return true;
      // A home that cannot be reached took the whole time limit; a hint costs one round trip.
      if (clock.now() - hopAt > SHARE_RESPONSE_TIMEOUT_MS / 2) return false;
    }
    return false;
  };
  const ask = async (giveUp: readonly HeldAccount[] = []): Promise<boolean> => {
    pending ??= askHops(giveUp).finally(() => {
      pending = undefined;
    });
    return pending;
  };
  const askFor = async ({ name, share }: HeldAccount): Promise<boolean> => {
    if (pending) return pending;
    const waitMs = share.isValid() ? EMPTY_SHARE_REQUEST_INTERVAL_MS : NO_SHARE_REQUEST_INTERVAL_MS;
    const isUseful = !starved.has(name) || clock.now() - askedAt >= waitMs;
    return isUseful ? ask() : false;
  };
  return {
    getAccount(name) {
      const known = accounts.get(name);
      if (known) return known;
      const now = (): number => clock.now();
      const share = createHeldShare(now, () => limitsOf(name) ?? noLimits);
      const created = { name, share, arrivals: createArrivalRate(now) };
      accounts.set(name, created);
      return created;
    },
    async requestTokens(account) {
      const { name } = account;
      waiting.set(name, (waiting.get(name) ?? 0) + 1);
      const isAnswered = await askFor(account);
      const others = (waiting.get(name) ?? 1) - 1;
      if (others > 0) waiting.set(name, others);
      else waiting.delete(name);
      return isAnswered;
    },
    recordRefusal({ name }) {
      refusals.set(name, (refusals.get(name) ?? 0) + 1);
    },
    async renewShares() {
      const all = [...accounts.values()];
      const hasSurplus = all.some(({ share }) => share.hasSurplus());
      const isDue = hasSurplus || clock.now() - askedAt >= SHARE_RENEWAL_INTERVAL_MS;
      if (!isDue) return;
      const idle = all.filter(isIdle);
      if (hasSurplus || all.some(({ share }) => share.isValid())) await ask(idle);
      idle.filter(isIdle).forEach(({ name }) => accounts.delete(name));
    },
    extendShares(until) {
      accounts.forEach(({ share }) => share.extend(until));
    },
    async releaseShares() {
      await pending;
      if (accounts.size > 0) await ask([...accounts.values()]);
      accounts.clear();
    },
  };
};
