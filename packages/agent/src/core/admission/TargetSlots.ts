/**
 * Places in the target. Online requests go first, in fair order; batch requests use what is left and
 * are preempted, the youngest first, as soon as an online request waits.
 */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { BatchSlot } from '../TargetAccess.js';
import { FairQueue, type Ticket } from './FairQueue.js';
import { HoldTimeAverage } from './HoldTimeAverage.js';

/** How many requests may be in the target. */
export interface Capacity {
  readonly concurrency: number;
  readonly batchConcurrency: number;
}

/** What decides about the admission of an online request. */
export interface OnlineSlotRequest {
  readonly account: string;
  readonly weight: number;
  /** Work of the request, in tokens. */
  readonly cost: number;
  /** Whether nothing else may be in the target with it. */
  readonly exclusive: boolean;
  /** Monotonic time until which it may wait. Unit: ms. */
  readonly waitDeadline: number;
  /** Monotonic time until which the answer must be whole. Unit: ms. */
  readonly deadline: number;
  /** Aborted when the request is given up. */
  readonly signal: AbortSignal;
}

/** Permission to have one online request in the target. */
export interface OnlineSlot {
  release(): void;
}

interface OnlineWaiter {
  readonly alone: boolean;
  settle(outcome: Result<OnlineSlot, Refusal>): void;
}

interface BatchWaiter {
  settle: (slot: BatchSlot | undefined) => void;
}

interface HeldBatchSlot {
  readonly alone: boolean;
  readonly preemption: AbortController;
}

/** Online requests that may wait, as a multiple of the target's places. */
const MAX_WAITING_PER_SLOT = 8;

/** Longest time to come back that a refusal names. Unit: s. */
const MAX_RETRY_AFTER_S = 60;

/** Places in the target. */
export class TargetSlots {
  private readonly queue = new FairQueue<OnlineWaiter>();

  private readonly holdTimeAverage = new HoldTimeAverage();

  private heldOnlineSlots = 0;

  private isOnlineExclusive = false;

  /** Oldest first. */
  private readonly heldBatchSlots = new Set<HeldBatchSlot>();

  private readonly batchWaiters = new Set<BatchWaiter>();

  private readonly exclusiveWaiters = new Set<BatchWaiter>();

  /**
   * @param getCapacity - gives the capacity in force at this moment
   * @param acceptsBatch - tells whether batch requests may enter at this moment
   * @param onPreempt - called for each preempted batch request
   */
  constructor(
    private readonly getCapacity: () => Capacity,
    private readonly acceptsBatch: () => boolean,
    private readonly onPreempt: () => void = () => undefined,
  ) {}

  get onlineCount(): number {
    return this.heldOnlineSlots;
  }

  get waitingCount(): number {
    return this.queue.size;
  }

  get batchCount(): number {
    return this.heldBatchSlots.size;
  }

  /**
   * Tells whether a batch request could enter now.
   *
   * @returns whether there is room beyond online requests
   */
  hasFreeBatchSlot(): boolean {
    const { concurrency, batchConcurrency } = this.getCapacity();
    const isBusy =
      this.queue.size > 0 || this.isHeldExclusively() || this.exclusiveWaiters.size > 0;
    return (
      !isBusy &&
      this.acceptsBatch() &&
      this.heldSlots < concurrency &&
      this.heldBatchSlots.size < batchConcurrency
    );
  }

  /**
   * Estimates how long a new online request would wait.
   *
   * @returns expected wait. Unit: ms
   */
  expectedWaitMs(): number {
    return this.estimateWaitMs(this.queue.size);
  }

  /**
   * Waits for a place for an online request.
   *
   * @param demand - the request
   * @returns the place; `overloaded` or `deadline-passed-in-queue` when it does not get one in time
   */
  async acquireOnlineSlot(demand: OnlineSlotRequest): Promise<Result<OnlineSlot, Refusal>> {
    let timer: NodeJS.Timeout | undefined;
    let giveUp: () => void = () => undefined;
    const outcome = await new Promise<Result<OnlineSlot, Refusal>>((settle) => {
      const { account, weight, cost, exclusive: alone } = demand;
      const ticket = this.queue.push({ account, weight, cost, item: { alone, settle } });
      const leave = (refusal: Refusal): void => {
        if (this.queue.remove(ticket)) settle(err(refusal));
        this.schedule();
      };
      this.schedule();
      this.refuseOverload(ticket, demand);
      giveUp = () => leave(refuse('deadline-passed-in-queue'));
      demand.signal.addEventListener('abort', giveUp);
      if (demand.signal.aborted) giveUp();
      const waitsUntil = Math.min(demand.waitDeadline, demand.deadline);
      const isLimit = demand.waitDeadline <= demand.deadline;
      timer = setTimeout(
        () => leave(isLimit ? this.createOverloadRefusal() : refuse('deadline-passed-in-queue')),
        Math.max(0, waitsUntil - performance.now()),
      );
    });
    clearTimeout(timer);
    demand.signal.removeEventListener('abort', giveUp);
    return outcome;
  }

  /**
   * Waits for a place for a batch request.
   *
   * @param signal - ends the waiting
   * @returns the place; nothing when the signal was aborted
   */
  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.waitForBatchSlot(this.batchWaiters, signal);
  }

  /**
   * Waits until the target is empty, for a batch request that must run alone.
   *
   * @param signal - ends the waiting
   * @returns the place; nothing when the signal was aborted
   */
  acquireExclusiveSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.waitForBatchSlot(this.exclusiveWaiters, signal);
  }

  /**
   * Refuses all online requests that wait.
   *
   * @param refusal - what they are told
   */
  refuseWaiting(refusal: Refusal): void {
    this.queue.all().forEach((ticket) => {
      this.queue.remove(ticket);
      ticket.item.settle(err(refusal));
    });
    this.schedule();
  }

  /** Admits what may enter now. Call it when the capacity or the welcome of batch has changed. */
  schedule(): void {
    this.admitOnline();
    this.preemptBatch();
    this.admitBatch();
  }

  private get heldSlots(): number {
    return this.heldOnlineSlots + this.heldBatchSlots.size;
  }

  private isHeldExclusively(): boolean {
    return this.isOnlineExclusive || [...this.heldBatchSlots].some(({ alone }) => alone);
  }

  private estimateWaitMs(entries: number): number {
    const { concurrency } = this.getCapacity();
    const isClosed = this.isOnlineExclusive || this.queue.first()?.item.alone === true;
    // Places of batch requests are released at once.
    const free = isClosed ? 0 : concurrency - this.heldOnlineSlots;
    return this.holdTimeAverage.estimateWaitMs(entries + 1 - free, concurrency);
  }

  private createOverloadRefusal(): Refusal {
    const seconds = Math.ceil(this.expectedWaitMs() / 1000);
    return refuse('overloaded', {
      retryAfterSeconds: Math.min(MAX_RETRY_AFTER_S, Math.max(1, seconds)),
    });
  }

  /** Refuses a new entry that would wait too long, or the last in fair order when too many wait. */
  private refuseOverload(ticket: Ticket<OnlineWaiter>, demand: OnlineSlotRequest): void {
    const expectedAt = performance.now() + this.estimateWaitMs(this.queue.countBefore(ticket));
    const isLate = expectedAt > demand.waitDeadline;
    const isFull = this.queue.size > this.getCapacity().concurrency * MAX_WAITING_PER_SLOT;
    if (!isLate && !isFull) return;
    const loser = isLate ? ticket : this.queue.last();
    if (loser && this.queue.remove(loser)) loser.item.settle(err(this.createOverloadRefusal()));
  }

  private admitOnline(): void {
    for (;;) {
      const first = this.queue.first();
      if (!first || this.isHeldExclusively()) return;
      const fits = first.item.alone
        ? this.heldSlots === 0
        : this.heldSlots < this.getCapacity().concurrency;
      if (!fits) return;
      this.queue.shift();
      first.item.settle(ok(this.createOnlineSlot(first.item.alone)));
    }
  }

  private createOnlineSlot(alone: boolean): OnlineSlot {
    const since = performance.now();
    let isHeld = true;
    this.heldOnlineSlots += 1;
    this.isOnlineExclusive = alone;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.heldOnlineSlots -= 1;
        if (alone) this.isOnlineExclusive = false;
        this.holdTimeAverage.add(performance.now() - since);
        this.schedule();
      },
    };
  }

  private preemptBatch(): void {
    const first = this.queue.first();
    if (!first || this.isOnlineExclusive) return;
    const { concurrency } = this.getCapacity();
    const needsAll = first.item.alone || this.isHeldExclusively();
    const wanted = Math.min(this.queue.size, concurrency - this.heldOnlineSlots);
    const leaving = [...this.heldBatchSlots].filter(({ preemption }) => preemption.signal.aborted);
    const missing = wanted - (concurrency - this.heldSlots) - leaving.length;
    const count = needsAll ? this.heldBatchSlots.size : Math.max(0, missing);
    const staying = [...this.heldBatchSlots].filter((hold) => !leaving.includes(hold));
    staying.slice(Math.max(0, staying.length - count)).forEach(({ preemption }) => {
      this.onPreempt();
      preemption.abort();
    });
  }

  private admitBatch(): void {
    const { concurrency, batchConcurrency } = this.getCapacity();
    if (this.queue.size > 0 || this.isHeldExclusively() || !this.acceptsBatch()) return;
    const [alone] = this.exclusiveWaiters;
    if (alone) {
      // Batch requests that run end first; meanwhile only online requests enter.
      if (this.heldSlots > 0) return;
      this.exclusiveWaiters.delete(alone);
      alone.settle(this.createBatchSlot(true));
      return;
    }
    const room = Math.min(
      concurrency - this.heldSlots,
      batchConcurrency - this.heldBatchSlots.size,
    );
    [...this.batchWaiters].slice(0, Math.max(0, room)).forEach((waiter) => {
      this.batchWaiters.delete(waiter);
      waiter.settle(this.createBatchSlot(false));
    });
  }

  private createBatchSlot(alone: boolean): BatchSlot {
    const hold = { alone, preemption: new AbortController() };
    this.heldBatchSlots.add(hold);
    return {
      preempted: hold.preemption.signal,
      release: () => {
        if (this.heldBatchSlots.delete(hold)) this.schedule();
      },
    };
  }

  private waitForBatchSlot(
    waiters: Set<BatchWaiter>,
    signal: AbortSignal,
  ): Promise<BatchSlot | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const waiter: BatchWaiter = { settle: resolve };
      const giveUp = (): void => {
        if (waiters.delete(waiter)) resolve(undefined);
        this.schedule();
      };
      waiter.settle = (slot) => {
        signal.removeEventListener('abort', giveUp);
        resolve(slot);
      };
      signal.addEventListener('abort', giveUp, { once: true });
      waiters.add(waiter);
      this.schedule();
    });
  }
}
