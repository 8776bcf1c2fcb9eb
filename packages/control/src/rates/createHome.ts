/** The home of one shard: divides the rates of its accounts among holders. */
import type { ShareResponse, ShareRequest } from '@jacinthlug/protocol/messages';
import type { Clock } from '../time/Clock.js';
import {
  createAccountAllocator,
  type AccountAllocator,
  type AccountLimits,
  type FreeAllocation,
} from './createAccountAllocator.js';
import type { HeldLease, HomeLease } from './createHomeLease.js';

/** The home of one shard. */
export interface Home {
  /**
   * Handles the share request of a holder.
   *
   * @param request - demands of the holder
   * @returns the granted shares, or the address of the home when it is another process
   */
  handleRequest(request: ShareRequest): ShareResponse;

  /**
   * Returns the allocations that no holder has, by account.
   *
   * @param held - the lease that is being released
   * @returns the free allocations; empty while shares of an earlier home may be valid
   */
  getFree(held: HeldLease): Readonly<Record<string, FreeAllocation>>;
}

/** Dependencies of {@link Home}. */
export interface HomeDependencies {
  readonly lease: HomeLease;
  readonly clock: Clock;
  /** Returns the limits of an account in the configuration; `undefined` when it is not declared. */
  getLimits(account: string): AccountLimits | undefined;
  /** Returns the names of the declared accounts of the shard. */
  accounts(): readonly string[];
}

/** State of the home during one lease. */
interface HomeState {
  readonly lease: HeldLease;
  readonly accounts: Map<string, AccountAllocator>;
  /** Highest sequence number received from each holder. */
  readonly sequences: Map<string, number>;
}

const noLimits: AccountLimits = { rate: 0, burst: 0 };

/**
 * Creates the home of a shard.
 *
 * @param dependencies - lease, clock and configuration
 * @returns the home
 */
export const createHome = ({ lease, clock, getLimits, accounts }: HomeDependencies): Home => {
  let state: HomeState | undefined;
  const getHomeState = (held: HeldLease): HomeState => {
    if (state?.lease !== held) state = { lease: held, accounts: new Map(), sequences: new Map() };
    return state;
  };
  const getAllocator = (
    { lease: held, accounts: allocators }: HomeState,
    account: string,
  ): AccountAllocator => {
    const known = allocators.get(account);
    if (known) return known;
    const allocator = createAccountAllocator({
      account,
      generation: held.generation,
      inheritedFree: held.inheritedFree[account],
      now: () => clock.now(),
      limits: () => getLimits(account) ?? noLimits,
      canSharesExpire: () => lease.canSharesExpire(),
      earlierSharesEndAt: () => lease.earlierSharesEndAt(),
      acquiredAt: held.acquiredAt,
    });
    allocators.set(account, allocator);
    return allocator;
  };
  const createNotHomeResponse = (): ShareResponse => {
    const home = lease.homeAddress();
    return { kind: 'not-home', ...(home === undefined ? {} : { home }) };
  };
  return {
    handleRequest(request) {
      const held = lease.inForce();
      const hasNewerHome = request.demands.some(
        ({ generation }) => generation > (held?.generation ?? 0),
      );
      if (!held || hasNewerHome) return createNotHomeResponse();
      const current = getHomeState(held);
      const { incarnation, sequence, demands, released } = request;
      // A request that was overtaken states what the holder had before it received later responses.
      if (sequence <= (current.sequences.get(incarnation) ?? -1))
        return { kind: 'granted', shares: [] };
      current.sequences.set(incarnation, sequence);
      const isDeclared = ({ account }: { account: string }): boolean =>
        getLimits(account) !== undefined;
      const demanded = new Set(demands.map(({ account }) => account));
      const shares = demands.filter(isDeclared).flatMap((demand) => {
        const returned = released.find(({ account }) => account === demand.account)?.tokens ?? 0;
        return getAllocator(current, demand.account).grant(incarnation, demand, returned) ?? [];
      });
      released
        .filter(({ account }) => !demanded.has(account))
        .filter(isDeclared)
        .forEach(({ account, tokens }) =>
          getAllocator(current, account).release(incarnation, tokens),
        );
      return { kind: 'granted', shares };
    },
    getFree(held) {
      if (lease.earlierSharesEndAt() > clock.now()) return {};
      const current = getHomeState(held);
      return Object.fromEntries(
        accounts().map((account) => [account, getAllocator(current, account).getFree()]),
      );
    },
  };
};
