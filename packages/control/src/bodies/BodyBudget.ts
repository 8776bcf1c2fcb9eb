/** Memory budget for the request bodies that a process holds, and the choice of the body that yields when it is used up. */
import { HeldBody } from './HeldBody.js';

/** Maximum memory of a body that may use the part of the budget that is reserved for small ones. Unit: bytes. */
const SMALL_BODY_BYTES = 66_560;

/** Part of the budget that only small bodies use. */
const SMALL_BODIES_SHARE = 1 / 8;

/** Time without a byte after which an incomplete body counts as stalled. Unit: ms. */
const STALL_MS = 250;

/** Minimum age for which the rate of a body is computed, as the first bytes of all bodies arrive together. Unit: ms. */
const MIN_RATE_AGE_MS = 100;

/** Compares two bodies: stalled ones first, longest first; then the slowest first. */
const compareProgress = (a: HeldBody, b: HeldBody, now: number): number => {
  const stalledFor = ({ progressedAt }: HeldBody): number =>
    now - progressedAt >= STALL_MS ? now - progressedAt : 0;
  const rateOf = ({ bytes, startedAt }: HeldBody): number =>
    bytes / Math.max(now - startedAt, MIN_RATE_AGE_MS);
  return stalledFor(b) - stalledFor(a) || rateOf(a) - rateOf(b);
};

/** Memory budget for request bodies. */
export class BodyBudget {
  /** Bytes that all bodies hold. Unit: bytes. */
  heldBytes = 0;

  private readonly bodies = new Set<HeldBody>();

  private readonly bytesByHolder = new Map<string, number>();

  /**
   * Creates a budget.
   *
   * @param limitBytes - maximum memory of all bodies. Unit: bytes
   * @param now - monotonic clock. Unit: ms
   */
  constructor(
    readonly limitBytes: number,
    private readonly now = () => performance.now(),
  ) {}

  /**
   * Begins a body.
   *
   * @param holder - client account that sends it, or the address of the sender
   * @param onYield - called when the body yields to another one
   * @returns the body, which must be released
   */
  open(holder: string, onYield: () => void): HeldBody {
    const body = new HeldBody(this, holder, this.now(), onYield);
    this.bodies.add(body);
    return body;
  }

  /**
   * Reserves memory for a body. While the budget is used up, incomplete bodies of the holder that holds most yield.
   *
   * @param body - the body
   * @param bytes - all memory that it needs from now on. Unit: bytes
   * @returns whether it fits
   */
  reserve(body: HeldBody, bytes: number): boolean {
    if (!this.bodies.has(body)) return false;
    Object.assign(body, { progressedAt: this.now() });
    const isSmall = bytes <= SMALL_BODY_BYTES;
    const limitBytes = isSmall ? this.limitBytes : this.limitBytes * (1 - SMALL_BODIES_SHARE);
    while (bytes > body.bytes && this.heldBytes + bytes - body.bytes > limitBytes) {
      const yielding = this.chooseYielding(body, bytes);
      if (!yielding || yielding === body) return false;
      this.release(yielding);
      yielding.onYield();
    }
    this.add(body, bytes - body.bytes);
    return true;
  }

  /**
   * Releases the memory of a body.
   *
   * @param body - the body
   */
  release(body: HeldBody): void {
    if (!this.bodies.delete(body)) return;
    this.add(body, -body.bytes);
    if (this.bytesByHolder.get(body.holder) === 0) this.bytesByHolder.delete(body.holder);
  }

  private add(body: HeldBody, bytes: number): void {
    Object.assign(body, { bytes: body.bytes + bytes });
    this.heldBytes += bytes;
    this.bytesByHolder.set(body.holder, (this.bytesByHolder.get(body.holder) ?? 0) + bytes);
  }

  /**
   * Chooses the incomplete body with the least progress: of the holder that holds most, or else of the holder of the
   * body that needs memory. Small bodies yield only to small ones.
   */
  private chooseYielding(body: HeldBody, neededBytes: number): HeldBody | undefined {
    const [largestHolder] = [...this.bytesByHolder].reduce(
      (a, b) => (b[1] > a[1] ? b : a),
      ['', 0],
    );
    const now = this.now();
    const choose = (holder: string): HeldBody | undefined => {
      const incomplete = [...this.bodies].filter(
        (each) => each.holder === holder && !each.isComplete,
      );
      const large = incomplete.filter(
        (each) => (each === body ? neededBytes : each.bytes) > SMALL_BODY_BYTES,
      );
      const candidates = large.length > 0 ? large : incomplete;
      return candidates.sort((a, b) => compareProgress(a, b, now))[0];
    };
    return choose(largestHolder) ?? choose(body.holder);
  }
}
