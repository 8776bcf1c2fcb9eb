/**
 * Slots for requests in the target. Online requests have priority and enter in fair order. Batch
 * requests use the remaining slots and are preempted, the latest first, when an online request
 * waits.
 */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { BatchSlot } from '../TargetAccess.js';
import { FairQueue, type Ticket } from './FairQueue.js';
import { HoldTimeAverage } from './HoldTimeAverage.js';

/** Maximum number of requests in the target, in all and of batch jobs. */
export interface Capacity {
  readonly concurrency: number;
  readonly batchConcurrency: number;
}

/** Request for an online slot. */
export interface OnlineSlotRequest {
  readonly account: string;
  readonly weight: number;
  /** Estimated work of the request. Unit: tokens. */
  readonly cost: number;
  /** Whether the request must be the only one in the target. */
  readonly exclusive: boolean;
  /** Monotonic time until which the request may wait for a slot. Unit: ms. */
  readonly waitDeadline: number;
  /** Monotonic time by which the response must be complete. Unit: ms. */
  readonly deadline: number;
  /** Aborted when the request is aborted. */
  readonly signal: AbortSignal;
}

/** Permission to run one online request in the target. */
export interface OnlineSlot {
  release(): void;
}

interface OnlineWaiter {
  readonly exclusive: boolean;
  settle(outcome: Result<OnlineSlot, Refusal>): void;
}

interface BatchWaiter {
  settle: (slot: BatchSlot | undefined) => void;
}

interface HeldBatchSlot {
  readonly exclusive: boolean;
  readonly preemption: AbortController;
}

/** Maximum waiting online requests per slot of the target. */
const MAX_WAITING_PER_SLOT = 8;

/** Maximum `retry-after` of a refusal. Unit: s. */
const MAX_RETRY_AFTER_S = 60;

/** Slots for requests in the target. */
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
   * @param getCapacity - returns the current capacity
   * @param acceptsBatch - checks whether batch requests may enter now
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
   * Checks whether a batch request could enter now.
   *
   * @returns whether a slot is free that no online request waits for
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
   * Waits for a slot for an online request.
   *
   * @param request - the slot request
   * @returns the slot; `overloaded` or `deadline-passed-in-queue` when none is free in time
   */
  async acquireOnlineSlot(request: OnlineSlotRequest): Promise<Result<OnlineSlot, Refusal>> {
    let timer: NodeJS.Timeout | undefined;
    let abort: () => void = () => undefined;
    const outcome = await new Promise<Result<OnlineSlot, Refusal>>((settle) => {
      const { account, weight, cost, exclusive } = request;
      const ticket = this.queue.push({ account, weight, cost, item: { exclusive, settle } });
      const leaveQueue = (refusal: Refusal): void => {
        if (this.queue.remove(ticket)) settle(err(refusal));
        this.schedule();
      };
      this.schedule();
      this.refuseOverload(ticket, request);
      abort = () => leaveQueue(refuse('deadline-passed-in-queue'));
      request.signal.addEventListener('abort', abort);
      if (request.signal.aborted) abort();
      const waitEnd = Math.min(request.waitDeadline, request.deadline);
      const isWaitLimit = request.waitDeadline <= request.deadline;
      timer = setTimeout(
        () =>
          leaveQueue(
            isWaitLimit ? this.createOverloadRefusal() : refuse('deadline-passed-in-queue'),
          ),
        Math.max(0, waitEnd - performance.now()),
      );
    });
    clearTimeout(timer);
    request.signal.removeEventListener('abort', abort);
    return outcome;
  }

  /**
   * Waits for a slot for a batch request.
   *
   * @param signal - cancels the wait
   * @returns the slot; undefined when the signal was aborted
   */
  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.waitForBatchSlot(this.batchWaiters, signal);
  }

  /**
   * Waits until the target is empty, for a batch request that must run alone.
   *
   * @param signal - cancels the wait
   * @returns the slot; undefined when the signal was aborted
   */
  acquireExclusiveSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.waitForBatchSlot(this.exclusiveWaiters, signal);
  }

  /**
   * Refuses all waiting online requests.
   *
   * @param refusal - the refusal
   */
  refuseWaiting(refusal: Refusal): void {
    this.queue.all().forEach((ticket) => {
      this.queue.remove(ticket);
      ticket.item.settle(err(refusal));
    });
    this.schedule();
  }

  /**
   * Admits the requests that may enter now. To be called when the capacity changes or batch
   * requests become acceptable.
   */
  schedule(): void {
    this.admitOnline();
    this.preemptBatch();
    this.admitBatch();
  }

  private get heldSlots(): number {
    return this.heldOnlineSlots + this.heldBatchSlots.size;
  }

  private isHeldExclusively(): boolean {
    return this.isOnlineExclusive || [...this.heldBatchSlots].some(({ exclusive }) => exclusive);
  }

  private estimateWaitMs(entries: number): number {
    const { concurrency } = this.getCapacity();
    const isBlocked = this.isOnlineExclusive || this.queue.first()?.item.exclusive === true;
    // Slots of batch requests count as free, because batch requests are preempted immediately.
    const free = isBlocked ? 0 : concurrency - this.heldOnlineSlots;
    return this.holdTimeAverage.estimateWaitMs(entries + 1 - free, concurrency);
  }

  private createOverloadRefusal(): Refusal {
    const seconds = Math.ceil(this.expectedWaitMs() / 1000);
    return refuse('overloaded', {
      retryAfterSeconds: Math.min(MAX_RETRY_AFTER_S, Math.max(1, seconds)),
    });
  }

  /** Refuses a new entry that would wait too long, or the last one in a queue that is too long. */
  private refuseOverload(ticket: Ticket<OnlineWaiter>, request: OnlineSlotRequest): void {
    const expectedAt = performance.now() + this.estimateWaitMs(this.queue.countBefore(ticket));
    const isLate = expectedAt > request.waitDeadline;
    const isFull = this.queue.size > this.getCapacity().concurrency * MAX_WAITING_PER_SLOT;
    if (!isLate && !isFull) return;
    const refused = isLate ? ticket : this.queue.last();
    if (refused && this.queue.remove(refused))
      refused.item.settle(err(this.createOverloadRefusal()));
  }

  private admitOnline(): void {
    for (;;) {
      const first = this.queue.first();
      if (!first || this.isHeldExclusively()) return;
      const fits = first.item.exclusive
        ? this.heldSlots === 0
        : this.heldSlots < this.getCapacity().concurrency;
      if (!fits) return;
      this.queue.shift();
      first.item.settle(ok(this.createOnlineSlot(first.item.exclusive)));
    }
  }

  private createOnlineSlot(exclusive: boolean): OnlineSlot {
    const since = performance.now();
    let isHeld = true;
    this.heldOnlineSlots += 1;
    this.isOnlineExclusive = exclusive;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.heldOnlineSlots -= 1;
        if (exclusive) this.isOnlineExclusive = false;
        this.holdTimeAverage.add(performance.now() - since);
        this.schedule();
      },
    };
  }

  private preemptBatch(): void {
    const first = this.queue.first();
    if (!first || this.isOnlineExclusive) return;
    const { concurrency } = this.getCapacity();
    const preemptsAll = first.item.exclusive || this.isHeldExclusively();
    const wanted = Math.min(this.queue.size, concurrency - this.heldOnlineSlots);
    const preempted = [...this.heldBatchSlots].filter(
      ({ preemption }) => preemption.signal.aborted,
    );
    const missing = wanted - (concurrency - this.heldSlots) - preempted.length;
    const count = preemptsAll ? this.heldBatchSlots.size : Math.max(0, missing);
    const running = [...this.heldBatchSlots].filter((held) => !preempted.includes(held));
    running.slice(Math.max(0, running.length - count)).forEach(({ preemption }) => {
      this.onPreempt();
      preemption.abort();
    });
  }

  private admitBatch(): void {
    const { concurrency, batchConcurrency } = this.getCapacity();
    if (this.queue.size > 0 || this.isHeldExclusively() || !this.acceptsBatch()) return;
    const [exclusiveWaiter] = this.exclusiveWaiters;
    if (exclusiveWaiter) {
      // Running batch requests end first; until then only online requests may enter.
      if (this.heldSlots > 0) return;
      this.exclusiveWaiters.delete(exclusiveWaiter);
      exclusiveWaiter.settle(this.createBatchSlot(true));
      return;
    }
    const free = Math.min(
      concurrency - this.heldSlots,
      batchConcurrency - this.heldBatchSlots.size,
    );
    [...this.batchWaiters].slice(0, Math.max(0, free)).forEach((waiter) => {
      this.batchWaiters.delete(waiter);
      waiter.settle(this.createBatchSlot(false));
    });
  }

  private createBatchSlot(exclusive: boolean): BatchSlot {
    const held = { exclusive, preemption: new AbortController() };
    this.heldBatchSlots.add(held);
    return {
      preempted: held.preemption.signal,
      release: () => {
        if (this.heldBatchSlots.delete(held)) this.schedule();
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
      const abort = (): void => {
        if (waiters.delete(waiter)) resolve(undefined);
        this.schedule();
      };
      waiter.settle = (slot) => {
        signal.removeEventListener('abort', abort);
        resolve(slot);
      };
      signal.addEventListener('abort', abort, { once: true });
      waiters.add(waiter);
      this.schedule();
    });
  }
}
