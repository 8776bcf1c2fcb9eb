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
   * Answers a holder.
   *
   * @param question - its demands
   * @returns shares, or who the home is
   */
  handleRequest(question: ShareRequest): ShareResponse;

  /**
   * Tells what nobody holds, by account.
   *
   * @param held - the lease that is being released
   * @returns the free parts; empty while shares of an earlier home may be in force
   */
  getFree(held: HeldLease): Readonly<Record<string, FreeAllocation>>;
}

/** What the home needs. */
export interface HomeDependencies {
  readonly lease: HomeLease;
  readonly clock: Clock;
  /** Limits of an account in the configuration; nothing when it is not declared. */
  getLimits(account: string): AccountLimits | undefined;
  /** Names of the declared accounts of the shard. */
  accounts(): readonly string[];
}

interface HomeState {
  readonly lease: HeldLease;
  readonly accounts: Map<string, AccountAllocator>;
  /** Highest sequence of each holder. */
  readonly sequences: Map<string, number>;
}

const noLimits: AccountLimits = { rate: 0, burst: 0 };

/**
 * Creates the home of a shard.
 *
 * @param parts - lease, time and configuration
 * @returns the home
 */
export const createHome = ({
  lease,
  clock,
  getLimits: limitsOf,
  accounts,
}: HomeDependencies): Home => {
  let books: HomeState | undefined;
  const booksOf = (held: HeldLease): HomeState => {
    if (books?.lease !== held) books = { lease: held, accounts: new Map(), sequences: new Map() };
    return books;
  };
  const bookOf = (
    { lease: held, accounts: opened }: HomeState,
    account: string,
  ): AccountAllocator => {
    const known = opened.get(account);
    if (known) return known;
    const book = createAccountAllocator({
      account,
      generation: held.generation,
      inheritedFree: held.inheritedFree[account],
      now: () => clock.now(),
      limits: () => limitsOf(account) ?? noLimits,
      canSharesExpire: () => lease.canSharesExpire(),
      earlierSharesEndAt: () => lease.earlierSharesEndAt(),
      acquiredAt: held.acquiredAt,
    });
    opened.set(account, book);
    return book;
  };
  const notHome = (): ShareResponse => {
    const home = lease.homeAddress();
    return { kind: 'not-home', ...(home === undefined ? {} : { home }) };
  };
  return {
    handleRequest(question) {
      const held = lease.inForce();
      const isOvertaken = question.demands.some(
        ({ generation }) => generation > (held?.generation ?? 0),
      );
      if (!held || isOvertaken) return notHome();
      const open = booksOf(held);
      const { incarnation, sequence, demands, released } = question;
      // A late question states what the holder had before later answers reached it.
      if (sequence <= (open.sequences.get(incarnation) ?? -1))
        return { kind: 'granted', shares: [] };
      open.sequences.set(incarnation, sequence);
      const isDeclared = ({ account }: { account: string }): boolean =>
        limitsOf(account) !== undefined;
      const demanded = new Set(demands.map(({ account }) => account));
      const shares = demands.filter(isDeclared).flatMap((demand) => {
        const returned = released.find(({ account }) => account === demand.account)?.tokens ?? 0;
        return bookOf(open, demand.account).grant(incarnation, demand, returned) ?? [];
      });
      released
        .filter(({ account }) => !demanded.has(account))
        .filter(isDeclared)
        .forEach(({ account, tokens }) => bookOf(open, account).release(incarnation, tokens));
      return { kind: 'granted', shares };
    },
    getFree(held) {
      if (lease.earlierSharesEndAt() > clock.now()) return {};
      const open = booksOf(held);
      return Object.fromEntries(
        accounts().map((account) => [account, bookOf(open, account).getFree()]),
      );
    },
  };
};
