/** Token bucket of one account that counts the requests admitted by all hosts. */

/** Rate limit of an account. */
export interface RateLimit {
  /** Requests per second. */
  readonly rate: number;
  /** Maximum number of requests at once. */
  readonly burst: number;
}

/** Time until a token is available; 0 if a token was taken. Unit: ms. */
export type WaitMs = number;

/** One host's instance of the bucket of an account. */
export class FleetTokenBucket {
  private tokens: number;

  /** Monotonic time of the last refill. Unit: ms. */
  private refilledAt: number;

  /** Number of requests admitted by this host. */
  admitted = 0;

  /** Monotonic time of the last change of `admitted`. Unit: ms. */
  admittedChangedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private limit: RateLimit,
    tokens: number,
    now: number,
  ) {
    this.tokens = Math.min(tokens, limit.burst);
    this.refilledAt = now;
  }

  /**
   * Changes the limit. A smaller burst applies immediately.
   *
   * @param limit - limit of the account
   */
  setLimit(limit: RateLimit): void {
    this.limit = limit;
    this.tokens = Math.min(this.tokens, limit.burst);
  }

  /**
   * Takes a token for one request, or returns the time until one is available.
   *
   * @param share - share of the rate that this host and all responsive hosts may use, between 0 and 1
   * @param now - monotonic time. Unit: ms
   * @returns 0 if admitted, else the time until a token is available. Unit: ms
   */
  take(share: number, now: number): WaitMs {
    this.refill(share, now);
    if (this.tokens >= 1) {
      this.tokens -= 1;
      this.admitted += 1;
      this.admittedChangedAt = now;
      return 0;
    }
    return this.computeWait(this.tokens, share);
  }

  /**
   * Returns the time until a token is available, without taking it.
   *
   * @param share - share of the rate that this host and all responsive hosts may use, between 0 and 1
   * @param now - monotonic time. Unit: ms
   * @returns 0 if a request would be admitted. Unit: ms
   */
  predictWait(share: number, now: number): WaitMs {
    const tokens = this.computeTokens(share, now);
    return tokens >= 1 ? 0 : this.computeWait(tokens, share);
  }

  /**
   * Refunds the token of a request that provably has not run.
   *
   * @param now - monotonic time. Unit: ms
   */
  refund(now: number): void {
    this.tokens += 1;
    this.admitted -= 1;
    this.admittedChangedAt = now;
  }

  /**
   * Debits requests admitted by another host. The number of tokens may become negative.
   *
   * @param requests - number of requests since the previous report of that host; negative after refunds
   */
  debit(requests: number): void {
    this.tokens -= requests;
  }

  /**
   * Whether the bucket is low, so that requests must be reported to other hosts at shorter intervals.
   *
   * @returns true if less than half of the burst is left
   */
  get isLow(): boolean {
    return this.tokens < this.limit.burst / 2;
  }

  private refill(share: number, now: number): void {
    this.tokens = this.computeTokens(share, now);
    this.refilledAt = now;
  }

  private computeTokens(share: number, now: number): number {
    const earned = ((now - this.refilledAt) / 1000) * this.limit.rate * share;
    return Math.min(this.limit.burst * Math.max(share, 0), this.tokens + earned);
  }

  private computeWait(tokens: number, share: number): WaitMs {
    return ((1 - tokens) / Math.max(this.limit.rate * share, 0.001)) * 1000;
  }
}
