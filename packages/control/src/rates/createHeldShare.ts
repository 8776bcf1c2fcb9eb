/** The share of one client account that this process holds: a token bucket with an end. */
import type { Share } from '@jacinthlug/protocol/messages';
import type { AccountLimits } from './createAccountAllocator.js';
import { noAllocation, type Allocation } from './shareTiming.js';

/** What the holder states about its share. */
export interface HeldShareState extends Allocation {
  readonly generation: number;
  readonly tokens: number;
}

/** The share of an account. */
export interface HeldShare {
  /**
   * Debits one token.
   *
   * @returns the generation debited; nothing when there is no token
   */
  takeToken(): number | undefined;

  /**
   * Credits a token whose request was not run.
   *
   * @param generation - generation that was debited
   */
  refundToken(generation: number): void;

  /**
   * Replaces the share.
   *
   * @param share - answer of the home
   * @param sentAt - monotonic time at which its question was sent. Unit: ms
   */
  apply(share: Share, sentAt: number): void;

  /**
   * Tells what is held now.
   *
   * @returns zeros when the share has lapsed
   */
  getState(): HeldShareState;

  /**
   * Removes tokens beyond the capacity from the bucket, for the home.
   *
   * @returns how many
   */
  removeSurplus(): number;

  /** Whether a lowered share left tokens for the home, which it needs for other holders. */
  hasSurplus(): boolean;

  /**
   * Gives the whole share up.
   *
   * @returns the tokens, for the home
   */
  release(): number;

  /**
   * Keeps a share past its end, in an outage.
   *
   * @param until - monotonic time. Unit: ms
   */
  extend(until: number): void;

  /** Whether a share is in force, with tokens or without. */
  isValid(): boolean;

  /** Whether the home answered within the validity, even when that share is used up. */
  isCurrent(): boolean;

  /**
   * Tells when a token will be there.
   *
   * @returns time from now. Unit: ms
   */
  nextTokenDelayMs(): number;
}

/**
 * Creates an empty share.
 *
 * @param now - monotonic time. Unit: ms
 * @param limits - limits of the account in the configuration; parts above them do not count
 * @returns the share
 */
export const createHeldShare = (now: () => number, limits: () => AccountLimits): HeldShare => {
  let part: Allocation = noAllocation;
  let generation = 0;
  let tokens = 0;
  let surplus = 0;
  let validUntil = -Infinity;
  let accruedAt = now();

  const drop = (): void => {
    part = noAllocation;
    tokens = 0;
    surplus = 0;
  };
  const accrue = (): void => {
    const time = now();
    const elapsedMs = time - accruedAt;
    accruedAt = time;
    if (time > validUntil) {
      drop();
      return;
    }
    const { rate, burst } = limits();
    const filled = tokens + (Math.min(part.rate, rate) * elapsedMs) / 1000;
    tokens = Math.min(part.capacity, burst, filled);
  };
  return {
    takeToken() {
      accrue();
      if (tokens < 1) return undefined;
      tokens -= 1;
      // Without a rate the capacity is of no more use here; the home may have it back.
      if (part.rate === 0 && tokens < 1) part = noAllocation;
      return generation;
    },
    refundToken(debited) {
      accrue();
      if (debited === generation) tokens = Math.min(part.capacity, tokens + 1);
    },
    apply(share, sentAt) {
      accrue();
      if (share.generation < generation || now() > sentAt + share.validMs) return;
      // What a lowered capacity cuts off goes back to the home with the next question.
      surplus += Math.max(0, tokens - share.capacity);
      tokens = Math.min(share.capacity, tokens + share.tokens);
      part = { rate: share.rate, capacity: share.capacity };
      generation = share.generation;
      validUntil = sentAt + share.validMs;
    },
    getState() {
      accrue();
      return { ...part, tokens, generation: part === noAllocation ? 0 : generation };
    },
    removeSurplus() {
      accrue();
      const removed = surplus;
      surplus = 0;
      return removed;
    },
    hasSurplus: () => surplus >= 1,
    release() {
      accrue();
      const removed = tokens + surplus;
      drop();
      return removed;
    },
    extend(until) {
      accrue();
      if (part.rate > 0 && now() <= validUntil) validUntil = Math.max(validUntil, until);
    },
    isCurrent: () => now() <= validUntil,
    isValid: () => now() <= validUntil && part !== noAllocation,
    nextTokenDelayMs() {
      accrue();
      return part.rate > 0 ? ((1 - tokens) / part.rate) * 1000 : 1000;
    },
  };
};
