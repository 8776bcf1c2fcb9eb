/** Divides the free batch slots of targets among the hosts that see them at the same time. */
import { getRank } from '../fleet/rendezvousHash.js';

/**
 * Delay before the next allocation on a target whose batch items were preempted: online load lasts longer than the
 * preemption itself. Unit: ms.
 */
const PREEMPTION_BACKOFF_MS = 300;

/** Slots of one target that are available to batch items. */
export interface FreeSlots {
  /** Identity of the target. */
  readonly target: string;
  /** Slots that are neither in use nor reserved. */
  readonly free: number;
  /** Hosts with waiting items in the target's failure domain. They come first, as their load data is the freshest. */
  readonly localHosts: readonly string[];
  /** Hosts with waiting items in other failure domains. */
  readonly remoteHosts: readonly string[];
  /** Number of turns that the first hosts in order have left unused, see SlotTurns. */
  readonly unusedTurns?: number;
}

/** Decides how many free slots of each target this host may use for batch items. */
export class BatchSlotAllocator {
  /** Monotonic time from which slots may be allocated again, by target. Unit: ms. */
  private readonly nextAllocationAt = new Map<string, number>();

  constructor(private readonly ownName: string) {}

  /**
   * Returns how many free slots of a target this host may use now. Slots are dealt out one at a time to the
   * waiting hosts, in an order that depends on the target. Hosts with the same load data therefore never
   * use the same slot. Slots that stay free are dealt out to the next hosts in order.
   *
   * @param slots - free slots and waiting hosts
   * @param now - monotonic time. Unit: ms
   * @returns number of slots
   */
  calculateAllowance(
    { target, free, localHosts, remoteHosts, unusedTurns = 0 }: FreeSlots,
    now: number,
  ): number {
    if (free <= 0 || now < (this.nextAllocationAt.get(target) ?? 0)) return 0;
    const isLocal = localHosts.includes(this.ownName);
    const rankOffset = (isLocal ? 0 : localHosts.length) - unusedTurns * free;
    if (rankOffset >= free) return 0;
    const ownRank = getRank(target, this.ownName, isLocal ? localHosts : remoteHosts);
    const rank = Math.max(0, rankOffset + ownRank);
    if (rank >= free) return 0;
    return Math.floor((free - 1 - rank) / (localHosts.length + remoteHosts.length)) + 1;
  }

  /**
   * Records an allocation. The next one waits until all hosts know of this one.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   * @param spreadMs - time until all hosts know of it. Unit: ms
   */
  recordAllocation(target: string, now: number, spreadMs: number): void {
    this.deferUntil(target, now + spreadMs);
  }

  /**
   * Records that batch items on a target were preempted.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   */
  recordPreemption(target: string, now: number): void {
    this.deferUntil(target, now + PREEMPTION_BACKOFF_MS);
  }

  /**
   * Returns the time until the next deferred allocation.
   *
   * @param now - monotonic time. Unit: ms
   * @returns remaining time; undefined when no allocation is deferred. Unit: ms
   */
  timeToNextAllocation(now: number): number | undefined {
    const pending = [...this.nextAllocationAt.values()].filter((at) => at > now);
    return pending.length > 0 ? Math.min(...pending) - now : undefined;
  }

  private deferUntil(target: string, until: number): void {
    this.nextAllocationAt.set(target, Math.max(until, this.nextAllocationAt.get(target) ?? 0));
  }
}
