/** Shares out the free slots of targets among hosts that see them at the same time. */
import { getRank } from '../fleet/rendezvousHash.js';

/** Time without takes on a target where items had to make room: online load lasts longer. Unit: ms. */
const PREEMPTION_BACKOFF_MS = 300;

/** The slots of one target that batch items may take. */
export interface FreeSlots {
  /** Identity of the target. */
  readonly target: string;
  /** Slots that neither run a request nor are reserved. */
  readonly free: number;
  /** Hosts with waiting items in the target's failure domain; they know its load best and come first. */
  readonly nearHosts: readonly string[];
  /** Hosts with waiting items in other failure domains. */
  readonly farHosts: readonly string[];
}

/** The turns of one host. */
export class BatchSlotAllocator {
  /** Monotonic time of the next take by target. Unit: ms. */
  private readonly nextAllocationAt = new Map<string, number>();

  constructor(private readonly ownName: string) {}

  /**
   * Tells how many free slots of a target this host may take now. Hosts with the same knowledge never
   * take the same slot: slot by slot, the waiting hosts take turns in an order of the target's own.
   *
   * @param slots - free slots and waiting hosts
   * @param now - monotonic time. Unit: ms
   * @returns number of slots
   */
  calculateAllowance({ target, free, nearHosts, farHosts }: FreeSlots, now: number): number {
    if (free <= 0 || now < (this.nextAllocationAt.get(target) ?? 0)) return 0;
    const isNear = nearHosts.includes(this.ownName);
    const before = isNear ? 0 : nearHosts.length;
    if (before >= free) return 0;
    const rank = before + getRank(target, this.ownName, isNear ? nearHosts : farHosts);
    if (rank >= free) return 0;
    return Math.floor((free - 1 - rank) / (nearHosts.length + farHosts.length)) + 1;
  }

  /**
   * Counts a take; the next one waits until other hosts know of it.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   * @param spreadMs - time after which all hosts know of it. Unit: ms
   */
  recordAllocation(target: string, now: number, spreadMs: number): void {
    this.deferUntil(target, now + spreadMs);
  }

  /**
   * Counts items that made room.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   */
  recordPreemption(target: string, now: number): void {
    this.deferUntil(target, now + PREEMPTION_BACKOFF_MS);
  }

  /**
   * Tells when the next delayed take is due.
   *
   * @param now - monotonic time. Unit: ms
   * @returns time until then; nothing when no take is delayed. Unit: ms
   */
  timeToNextAllocation(now: number): number | undefined {
    const ahead = [...this.nextAllocationAt.values()].filter((at) => at > now);
    return ahead.length > 0 ? Math.min(...ahead) - now : undefined;
  }

  private deferUntil(target: string, until: number): void {
    this.nextAllocationAt.set(target, Math.max(until, this.nextAllocationAt.get(target) ?? 0));
  }
}
