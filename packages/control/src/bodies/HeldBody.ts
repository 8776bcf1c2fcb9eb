/** A request body whose memory counts towards a budget. */

/** What a process holds for a body besides its bytes. Unit: bytes. */
const BODY_OVERHEAD_BYTES = 1024;

/** Budget that bodies count towards. */
interface BodyMemory {
  reserve(body: HeldBody, bytes: number): boolean;
  release(body: HeldBody): void;
}

/** One body, from the first byte until its request ends. */
export class HeldBody {
  /** Reserved bytes. Unit: bytes. */
  bytes = 0;

  /** Whether it has been received completely; such a body does not yield. */
  isComplete = false;

  /** Monotonic time of the latest bytes. Unit: ms. */
  progressedAt: number;

  /**
   * Begins with no bytes.
   *
   * @param budget - budget that it counts towards
   * @param holder - client account that sends it, or the address of the sender
   * @param startedAt - monotonic time. Unit: ms
   * @param onYield - called when the body yields to another one; its bytes are released
   */
  constructor(
    private readonly budget: BodyMemory,
    readonly holder: string,
    readonly startedAt: number,
    readonly onYield: () => void,
  ) {
    this.progressedAt = startedAt;
  }

  /**
   * Reserves memory.
   *
   * @param bytes - all memory that the body needs from now on. Unit: bytes
   * @returns whether it fits; bytes reserved before stay reserved otherwise
   */
  reserve(bytes: number): boolean {
    return this.budget.reserve(this, bytes + BODY_OVERHEAD_BYTES);
  }

  /** Releases the memory. */
  release(): void {
    this.budget.release(this);
  }
}
