/** Limits retries to a fraction of the requests, so that failures do not multiply the load. */

/** Length of the sliding window over which requests and retries are counted. Unit: ms. */
const WINDOW_MS = 10_000;

/** Length of a slot of the window. Unit: ms. */
const SLOT_MS = 1000;

/** Number of retries allowed per request. */
const RETRIES_PER_REQUEST = 0.1;

/** Number of retries allowed in a window regardless of the number of requests. */
const MIN_RETRIES = 3;

interface Slot {
  readonly startedAt: number;
  requests: number;
  retries: number;
}

/** Retry budget over a sliding window. */
export class RetryBudget {
  private slots: Slot[] = [];

  /** @param now - monotonic clock. Unit: ms */
  constructor(private readonly now: () => number = () => performance.now()) {}

  countRequest(): void {
    this.currentSlot().requests += 1;
  }

  /**
   * Consumes one retry if the budget allows it.
   *
   * @returns whether the retry is allowed
   */
  tryAcquireRetry(): boolean {
    const slot = this.currentSlot();
    const requests = this.slots.reduce((sum, each) => sum + each.requests, 0);
    const retries = this.slots.reduce((sum, each) => sum + each.retries, 0);
    if (retries + 1 > Math.max(MIN_RETRIES, requests * RETRIES_PER_REQUEST)) return false;
    slot.retries += 1;
    return true;
  }

  private currentSlot(): Slot {
    const now = this.now();
    this.slots = this.slots.filter(({ startedAt }) => startedAt > now - WINDOW_MS);
    const last = this.slots.at(-1);
    if (last && last.startedAt > now - SLOT_MS) return last;
    const slot = { startedAt: now, requests: 0, retries: 0 };
    this.slots.push(slot);
    return slot;
  }
}
