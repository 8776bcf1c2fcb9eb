/** Token bucket of one account that counts what all hosts admit. */

/** Limit of an account. */
export interface RateLimit {
  /** Requests per second. */
  readonly rate: number;
  readonly burst: number;
}

/** Time to earn a token, for the case in which none is there. Unit: ms. */
export type WaitMs = number;

/** Bucket of an account on one host. */
export class FleetTokenBucket {
  private tokens: number;

  /** Monotonic time up to which tokens are earned. Unit: ms. */
  private refilledAt: number;

  /** Requests that this host admitted. */
  admitted = 0;

  /** Monotonic time of the latest change of that count. Unit: ms. */
  admittedChangedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private limit: RateLimit,
    level: number,
    now: number,
  ) {
    this.tokens = Math.min(level, limit.burst);
    this.refilledAt = now;
  }

  /**
   * Takes a new limit; a smaller burst holds at once.
   *
   * @param limit - limit of the account
   */
  setLimit(limit: RateLimit): void {
    this.limit = limit;
    this.tokens = Math.min(this.tokens, limit.burst);
  }

  /**
   * Admits one request, or tells when there will be room.
   *
   * @param share - part of the rate that this host's group may use, between 0 and 1
   * @param now - monotonic time. Unit: ms
   * @returns 0 when admitted, else the time until a token is earned. Unit: ms
   */
  take(share: number, now: number): WaitMs {
    this.refill(share, now);
    if (this.tokens >= 1) {
      this.tokens -= 1;
      this.admitted += 1;
      this.admittedChangedAt = now;
      return 0;
    }
    return ((1 - this.tokens) / Math.max(this.limit.rate * share, 0.001)) * 1000;
  }

  /**
   * Gives back the token of a request that provably has not run.
   *
   * @param now - monotonic time. Unit: ms
   */
  refund(now: number): void {
    this.tokens += 1;
    this.admitted -= 1;
    this.admittedChangedAt = now;
  }

  /**
   * Debits what another host admitted; the bucket may go below zero.
   *
   * @param requests - requests since its last report
   */
  debit(requests: number): void {
    this.tokens -= requests;
  }

  /**
   * Tells whether the bucket is so low that other hosts must learn of each request at once.
   *
   * @returns whether less than half of the burst is left
   */
  get isLow(): boolean {
    return this.tokens < this.limit.burst / 2;
  }

  private refill(share: number, now: number): void {
    const earned = ((now - this.refilledAt) / 1000) * this.limit.rate * share;
    this.refilledAt = now;
    this.tokens = Math.min(this.limit.burst * Math.max(share, 0), this.tokens + earned);
  }
}
