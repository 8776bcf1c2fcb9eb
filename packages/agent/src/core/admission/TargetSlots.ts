/**
 * Places in the target. Online requests go first, in fair order; batch requests use what is left and
 * are preempted, the youngest first, as soon as an online request waits.
 */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { BatchSlot } from '../TargetAccess.js';
import { FairQueue, type Ticket } from './FairQueue.js';
import { HoldTimes } from './HoldTimes.js';

/** How many requests may be in the target. */
export interface Capacity {
  readonly concurrency: number;
  readonly batchConcurrency: number;
}

/** What decides about the admission of an online request. */
export interface OnlineDemand {
  readonly account: string;
  readonly weight: number;
  /** Work of the request, in tokens. */
  readonly cost: number;
  /** Whether nothing else may be in the target with it. */
  readonly alone: boolean;
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

interface BatchHold {
  readonly alone: boolean;
  readonly preemption: AbortController;
}

/** Online requests that may wait, as a multiple of the target's places. */
const WAITING_PER_PLACE = 8;

/** Longest time to come back that a refusal names. Unit: s. */
const MAX_RETRY_AFTER_S = 60;

/** Places in the target. */
export class TargetSlots {
  private readonly queue = new FairQueue<OnlineWaiter>();

  private readonly holdTimes = new HoldTimes();

  private onlineHeld = 0;

  private isOnlineAlone = false;

  /** Oldest first. */
  private readonly batchHeld = new Set<BatchHold>();

  private readonly batchWaiters = new Set<BatchWaiter>();

  private readonly aloneWaiters = new Set<BatchWaiter>();

  /**
   * @param capacity - gives the capacity in force at this moment
   * @param welcomesBatch - tells whether batch requests may enter at this moment
   * @param onPreempt - called for each preempted batch request
   */
  constructor(
    private readonly capacity: () => Capacity,
    private readonly welcomesBatch: () => boolean,
    private readonly onPreempt: () => void = () => undefined,
  ) {}

  get online(): number {
    return this.onlineHeld;
  }

  get waiting(): number {
    return this.queue.size;
  }

  get batch(): number {
    return this.batchHeld.size;
  }

  /**
   * Tells whether a batch request could enter now.
   *
   * @returns whether there is room beyond online requests
   */
  hasBatchRoom(): boolean {
    const { concurrency, batchConcurrency } = this.capacity();
    const isBusy = this.queue.size > 0 || this.isExclusive() || this.aloneWaiters.size > 0;
    return (
      !isBusy &&
      this.welcomesBatch() &&
      this.held < concurrency &&
      this.batchHeld.size < batchConcurrency
    );
  }

  /**
   * Estimates how long a new online request would wait.
   *
   * @returns expected wait. Unit: ms
   */
  expectedWaitMs(): number {
    return this.waitBehind(this.queue.size);
  }

  /**
   * Waits for a place for an online request.
   *
   * @param demand - the request
   * @returns the place; `overloaded` or `deadline-passed-in-queue` when it does not get one in time
   */
  async acquireOnline(demand: OnlineDemand): Promise<Result<OnlineSlot, Refusal>> {
    let timer: NodeJS.Timeout | undefined;
    let giveUp: () => void = () => undefined;
    const outcome = await new Promise<Result<OnlineSlot, Refusal>>((settle) => {
      const { account, weight, cost, alone } = demand;
      const ticket = this.queue.push({ account, weight, cost, item: { alone, settle } });
      const leave = (refusal: Refusal): void => {
        if (this.queue.remove(ticket)) settle(err(refusal));
        this.schedule();
      };
      this.schedule();
      this.refuseLateOnes(ticket, demand);
      giveUp = () => leave(refuse('deadline-passed-in-queue'));
      demand.signal.addEventListener('abort', giveUp);
      if (demand.signal.aborted) giveUp();
      const waitsUntil = Math.min(demand.waitDeadline, demand.deadline);
      const isLimit = demand.waitDeadline <= demand.deadline;
      timer = setTimeout(
        () => leave(isLimit ? this.overloaded() : refuse('deadline-passed-in-queue')),
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
  acquireBatch(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.waitIn(this.batchWaiters, signal);
  }

  /**
   * Waits until the target is empty, for a batch request that must run alone.
   *
   * @param signal - ends the waiting
   * @returns the place; nothing when the signal was aborted
   */
  acquireAlone(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.waitIn(this.aloneWaiters, signal);
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

  private get held(): number {
    return this.onlineHeld + this.batchHeld.size;
  }

  private isExclusive(): boolean {
    return this.isOnlineAlone || [...this.batchHeld].some(({ alone }) => alone);
  }

  private waitBehind(entries: number): number {
    const { concurrency } = this.capacity();
    const isClosed = this.isOnlineAlone || this.queue.first()?.item.alone === true;
    // Places of batch requests are released at once.
    const free = isClosed ? 0 : concurrency - this.onlineHeld;
    return this.holdTimes.untilReleases(entries + 1 - free, concurrency);
  }

  private overloaded(): Refusal {
    const seconds = Math.ceil(this.expectedWaitMs() / 1000);
    return refuse('overloaded', {
      retryAfterSeconds: Math.min(MAX_RETRY_AFTER_S, Math.max(1, seconds)),
    });
  }

  /** Refuses a new entry that would wait too long, or the last in fair order when too many wait. */
  private refuseLateOnes(ticket: Ticket<OnlineWaiter>, demand: OnlineDemand): void {
    const expectedAt = performance.now() + this.waitBehind(this.queue.entriesBefore(ticket));
    const isLate = expectedAt > demand.waitDeadline;
    const isFull = this.queue.size > this.capacity().concurrency * WAITING_PER_PLACE;
    if (!isLate && !isFull) return;
    const loser = isLate ? ticket : this.queue.last();
    if (loser && this.queue.remove(loser)) loser.item.settle(err(this.overloaded()));
  }

  private admitOnline(): void {
    for (;;) {
      const first = this.queue.first();
      if (!first || this.isExclusive()) return;
      const fits = first.item.alone ? this.held === 0 : this.held < this.capacity().concurrency;
      if (!fits) return;
      this.queue.shift();
      first.item.settle(ok(this.holdOnline(first.item.alone)));
    }
  }

  private holdOnline(alone: boolean): OnlineSlot {
    const since = performance.now();
    let isHeld = true;
    this.onlineHeld += 1;
    this.isOnlineAlone = alone;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.onlineHeld -= 1;
        if (alone) this.isOnlineAlone = false;
        this.holdTimes.add(performance.now() - since);
        this.schedule();
      },
    };
  }

  private preemptBatch(): void {
    const first = this.queue.first();
    if (!first || this.isOnlineAlone) return;
    const { concurrency } = this.capacity();
    const needsAll = first.item.alone || this.isExclusive();
    const wanted = Math.min(this.queue.size, concurrency - this.onlineHeld);
    const leaving = [...this.batchHeld].filter(({ preemption }) => preemption.signal.aborted);
    const missing = wanted - (concurrency - this.held) - leaving.length;
    const count = needsAll ? this.batchHeld.size : Math.max(0, missing);
    const staying = [...this.batchHeld].filter((hold) => !leaving.includes(hold));
    staying.slice(Math.max(0, staying.length - count)).forEach(({ preemption }) => {
      this.onPreempt();
      preemption.abort();
    });
  }

  private admitBatch(): void {
    const { concurrency, batchConcurrency } = this.capacity();
    if (this.queue.size > 0 || this.isExclusive() || !this.welcomesBatch()) return;
    const [alone] = this.aloneWaiters;
    if (alone) {
      // Batch requests that run end first; meanwhile only online requests enter.
      if (this.held > 0) return;
      this.aloneWaiters.delete(alone);
      alone.settle(this.holdBatch(true));
      return;
    }
    const room = Math.min(concurrency - this.held, batchConcurrency - this.batchHeld.size);
    [...this.batchWaiters].slice(0, Math.max(0, room)).forEach((waiter) => {
      this.batchWaiters.delete(waiter);
      waiter.settle(this.holdBatch(false));
    });
  }

  private holdBatch(alone: boolean): BatchSlot {
    const hold = { alone, preemption: new AbortController() };
    this.batchHeld.add(hold);
    return {
      preempted: hold.preemption.signal,
      release: () => {
        if (this.batchHeld.delete(hold)) this.schedule();
      },
    };
  }

  private waitIn(waiters: Set<BatchWaiter>, signal: AbortSignal): Promise<BatchSlot | undefined> {
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
