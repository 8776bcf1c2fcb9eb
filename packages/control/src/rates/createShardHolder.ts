/** Manages the shares of one shard on this process: requests, renews and releases them. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { PeerFailure } from '@jacinthlug/protocol/controlClient';
import type { Demand, ShareResponse, ShareRequest } from '@jacinthlug/protocol/messages';
import { err, type Result } from 'neverthrow';
import type { Clock } from '../time/Clock.js';
import type { AccountLimits } from './createAccountAllocator.js';
import { createArrivalRate, type ArrivalRate } from './createArrivalRate.js';
import { createHeldShare, type HeldShare } from './createHeldShare.js';
import { SHARE_RESPONSE_TIMEOUT_MS, SHARE_RENEWAL_INTERVAL_MS } from './shareTiming.js';

/** Time without a request after which a share is released. Unit: ms. */
const SHARE_IDLE_TIMEOUT_MS = 10_000;

/** Maximum number of hosts that are tried for one share request. */
const MAX_HOME_HOPS = 3;

/** Time between share requests while a held share has no tokens. Unit: ms. */
const EMPTY_SHARE_REQUEST_INTERVAL_MS = 250;

/** Time between share requests while no share is held, as the home has nothing to grant. Unit: ms. */
const NO_SHARE_REQUEST_INTERVAL_MS = 50;

/** A client account with requests on this process. */
export interface HeldAccount {
  readonly name: string;
  readonly share: HeldShare;
  readonly arrivals: ArrivalRate;
}

/** Manages the shares of one shard on this process. */
export interface ShardHolder {
  /**
   * Returns an account; its first call creates the account without a share.
   *
   * @param name - name of the account
   * @returns the account
   */
  getAccount(name: string): HeldAccount;

  /**
   * Requests shares from the home, unless the last request is so recent that its response would not
   * differ.
   *
   * @param account - account that is out of tokens
   * @returns whether the home responded
   */
  requestTokens(account: HeldAccount): Promise<boolean>;

  /**
   * Counts a refused request.
   *
   * @param account - account of the request
   */
  recordRefusal(account: HeldAccount): void;

  /** Renews the shares when they are due, and releases those that are idle. */
  renewShares(): Promise<void>;

  /**
   * Extends the valid shares during an outage.
   *
   * @param until - monotonic time at which they then expire. Unit: ms
   */
  extendShares(until: number): void;

  /** Releases all shares. */
  releaseShares(): Promise<void>;
}

/** Dependencies of {@link ShardHolder}. */
export interface ShardHolderDependencies {
  readonly shard: number;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly metrics: Metrics;
  getLimits(account: string): AccountLimits | undefined;
  /**
   * Sends a share request.
   *
   * @param request - the request
   * @param failures - number of failed attempts since the home last responded
   * @returns the response, or why there is none
   */
  send(request: ShareRequest, failures: number): Promise<Result<ShareResponse, PeerFailure>>;
}

const noLimits: AccountLimits = { rate: 0, burst: 0 };

/**
 * Creates the holder of a shard, without shares.
 *
 * @param dependencies - access to the home, clock and limits
 * @returns the holder
 */
export const createShardHolder = (dependencies: ShardHolderDependencies): ShardHolder => {
  const { shard, incarnation, clock, metrics, getLimits, send } = dependencies;
  const accounts = new Map<string, HeldAccount>();
  const refusals = new Map<string, number>();
  /** Number of requests of each account that wait for a response of the home. */
  const waiting = new Map<string, number>();
  /** Accounts for which the home granted no token at the last request. */
  const starved = new Set<string>();
  let sequence = 0;
  let failures = 0;
  let requestedAt = -Infinity;
  let pending: Promise<boolean> | undefined;

  const createDemand = ({ name, share, arrivals }: HeldAccount): Demand => {
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
  /** Checks whether the home must know of an account; tokens granted to an unused one would be wasted. */
  const isInUse = ({ name, share }: HeldAccount): boolean => share.isValid() || waiting.has(name);
  const createRequest = (toRelease: readonly HeldAccount[]): ShareRequest => {
    const kept = [...accounts.values()].filter((account) => !toRelease.includes(account));
    sequence += 1;
    const surplus = kept.map(({ name, share }) => ({
      account: name,
      tokens: share.removeSurplus(),
    }));
    const demands = kept.filter(isInUse).map(createDemand);
    refusals.clear();
    const released = toRelease.map(({ name, share }) => ({
      account: name,
      tokens: share.release(),
    }));
    const returned = surplus.filter(({ tokens }) => tokens > 0);
    return { incarnation, sequence, shard, demands, released: [...returned, ...released] };
  };
  const applyResponse = (response: ShareResponse, sentAt: number): boolean => {
    if (response.kind !== 'granted') return false;
    accounts.forEach((account) => {
      if (isInUse(account)) starved.add(account.name);
    });
    response.shares.forEach((share) => {
      accounts.get(share.account)?.share.apply(share, sentAt);
      if (share.tokens > 0) starved.delete(share.account);
    });
    return true;
  };
  /** Sends one request. If it gets no response in time, the tokens that it returned are lost. */
  const requestOnce = async (toRelease: readonly HeldAccount[]): Promise<boolean> => {
    const sentAt = clock.now();
    const response = await send(createRequest(toRelease), failures);
    const isLate = clock.now() - sentAt > SHARE_RESPONSE_TIMEOUT_MS;
    const result = isLate
      ? err<ShareResponse, PeerFailure>({ kind: 'unreachable', message: 'late' })
      : response;
    const outcome = result.isErr() ? result.error.kind : result.value.kind;
    metrics.count('shares.requests', { outcome });
    const isApplied = result.isOk() && applyResponse(result.value, sentAt);
    failures = isApplied ? 0 : failures + 1;
    return isApplied;
  };
  const requestFromHome = async (toRelease: readonly HeldAccount[]): Promise<boolean> => {
    requestedAt = clock.now();
    for (let hop = 0; hop < MAX_HOME_HOPS; hop += 1) {
      const hopStartedAt = clock.now();
      if (await requestOnce(toRelease)) return true;
      // An unreachable home uses up the whole timeout; a hint to another home costs one round trip.
      if (clock.now() - hopStartedAt > SHARE_RESPONSE_TIMEOUT_MS / 2) return false;
    }
    return false;
  };
  const requestShares = async (toRelease: readonly HeldAccount[] = []): Promise<boolean> => {
    pending ??= requestFromHome(toRelease).finally(() => {
      pending = undefined;
    });
    return pending;
  };
  const requestFor = async ({ name, share }: HeldAccount): Promise<boolean> => {
    if (pending) return pending;
    const waitMs = share.isValid() ? EMPTY_SHARE_REQUEST_INTERVAL_MS : NO_SHARE_REQUEST_INTERVAL_MS;
    const isWorthwhile = !starved.has(name) || clock.now() - requestedAt >= waitMs;
    return isWorthwhile ? requestShares() : false;
  };
  return {
    getAccount(name) {
      const known = accounts.get(name);
      if (known) return known;
      const now = (): number => clock.now();
      const share = createHeldShare(now, () => getLimits(name) ?? noLimits);
      const created = { name, share, arrivals: createArrivalRate(now) };
      accounts.set(name, created);
      return created;
    },
    async requestTokens(account) {
      const { name } = account;
      waiting.set(name, (waiting.get(name) ?? 0) + 1);
      const hasResponse = await requestFor(account);
      const others = (waiting.get(name) ?? 1) - 1;
      if (others > 0) waiting.set(name, others);
      else waiting.delete(name);
      return hasResponse;
    },
    recordRefusal({ name }) {
      refusals.set(name, (refusals.get(name) ?? 0) + 1);
    },
    async renewShares() {
      const all = [...accounts.values()];
      const hasSurplus = all.some(({ share }) => share.hasSurplus());
      const isDue = hasSurplus || clock.now() - requestedAt >= SHARE_RENEWAL_INTERVAL_MS;
      if (!isDue) return;
      const idle = all.filter(isIdle);
      if (hasSurplus || all.some(({ share }) => share.isValid())) await requestShares(idle);
      idle.filter(isIdle).forEach(({ name }) => accounts.delete(name));
    },
    extendShares(until) {
      accounts.forEach(({ share }) => share.extend(until));
    },
    async releaseShares() {
      await pending;
      if (accounts.size > 0) await requestShares([...accounts.values()]);
      accounts.clear();
    },
  };
};
