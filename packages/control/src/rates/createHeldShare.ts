/** The share of one client account that this process holds: a token bucket that expires. */
import type { Share } from '@jacinthlug/protocol/messages';
import type { AccountLimits } from './createAccountAllocator.js';
import { noAllocation, type Allocation } from './shareTiming.js';

/** State of a share, as the holder reports it to the home. */
export interface HeldShareState extends Allocation {
  readonly generation: number;
  readonly tokens: number;
}

/** The share of an account that this process holds. */
export interface HeldShare {
  /**
   * Debits one token.
   *
   * @returns the generation of the debited share; `undefined` when there is no token
   */
  takeToken(): number | undefined;

  /**
   * Credits the token of a request that was not run.
   *
   * @param generation - generation of the share that was debited
   */
  refundToken(generation: number): void;

  /**
   * Replaces the share.
   *
   * @param share - share granted by the home
   * @param sentAt - monotonic time at which the request for it was sent. Unit: ms
   */
  apply(share: Share, sentAt: number): void;

  /**
   * Returns the current state.
   *
   * @returns the state; all zeros when the share has expired
   */
  getState(): HeldShareState;

  /**
   * Removes the tokens that a lowered capacity left over, in order to return them to the home.
   *
   * @returns the number of tokens removed
   */
  removeSurplus(): number;

  /** Checks whether a lowered capacity left tokens over, which the home needs for other holders. */
  hasSurplus(): boolean;

  /**
   * Releases the whole share.
   *
   * @returns the remaining tokens, to be returned to the home
   */
  release(): number;

  /**
   * Extends a valid share during an outage.
   *
   * @param until - monotonic time at which it then expires. Unit: ms
   */
  extend(until: number): void;

  /** Checks whether a share with a rate or a capacity is valid; it may be out of tokens. */
  isValid(): boolean;

  /** Checks whether the last response of the home is still valid, even if its share is used up. */
  isCurrent(): boolean;

  /**
   * Returns the time until the next token is available.
   *
   * @returns time from now. Unit: ms
   */
  nextTokenDelayMs(): number;
}

/**
 * Creates an empty share.
 *
 * @param now - returns the monotonic time. Unit: ms
 * @param limits - limits of the account in the configuration; a share is capped to them
 * @returns the share
 */
export const createHeldShare = (now: () => number, limits: () => AccountLimits): HeldShare => {
  let allocation: Allocation = noAllocation;
  let generation = 0;
  let tokens = 0;
  let surplus = 0;
  let validUntil = -Infinity;
  let refilledAt = now();

  const clear = (): void => {
    allocation = noAllocation;
    tokens = 0;
    surplus = 0;
  };
  const refill = (): void => {
    const time = now();
    const elapsedMs = time - refilledAt;
    refilledAt = time;
    if (time > validUntil) {
      clear();
      return;
    }
    const { rate, burst } = limits();
    const refilled = tokens + (Math.min(allocation.rate, rate) * elapsedMs) / 1000;
    tokens = Math.min(allocation.capacity, burst, refilled);
  };
  return {
    takeToken() {
      refill();
      if (tokens < 1) return undefined;
      tokens -= 1;
      // Without a rate the bucket is never refilled, so its capacity can go back to the home.
      if (allocation.rate === 0 && tokens < 1) allocation = noAllocation;
      return generation;
    },
    refundToken(debited) {
      refill();
      if (debited === generation) tokens = Math.min(allocation.capacity, tokens + 1);
    },
    apply(share, sentAt) {
      refill();
      if (share.generation < generation || now() > sentAt + share.validMs) return;
      // Tokens above a lowered capacity are returned to the home with the next request.
      surplus += Math.max(0, tokens - share.capacity);
      tokens = Math.min(share.capacity, tokens + share.tokens);
      allocation = { rate: share.rate, capacity: share.capacity };
      generation = share.generation;
      validUntil = sentAt + share.validMs;
    },
    getState() {
      refill();
      return { ...allocation, tokens, generation: allocation === noAllocation ? 0 : generation };
    },
    removeSurplus() {
      refill();
      const removed = surplus;
      surplus = 0;
      return removed;
    },
    hasSurplus: () => surplus >= 1,
    release() {
      refill();
      const removed = tokens + surplus;
      clear();
      return removed;
    },
    extend(until) {
      refill();
      if (allocation.rate > 0 && now() <= validUntil) validUntil = Math.max(validUntil, until);
    },
    isCurrent: () => now() <= validUntil,
    isValid: () => now() <= validUntil && allocation !== noAllocation,
    nextTokenDelayMs() {
      refill();
      return allocation.rate > 0 ? ((1 - tokens) / allocation.rate) * 1000 : 1000;
    },
  };
};
