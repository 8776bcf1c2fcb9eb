/** Runs one claimed chunk, from reading its input to committing its results. */
import { setMaxListeners } from 'node:events';
import type { Claim } from '@jacinthlug/batch/ChunkStore';
import { isSuccess, type ResultLine } from '@jacinthlug/batch/results/resultLine';
import { err, type Result } from 'neverthrow';
import type { BatchSlot, TargetResponse, TargetFailure, TargetRequest } from '../TargetAccess.js';
import type { ChunkDependencies } from './ChunkDependencies.js';
import { parseChunk, type Item } from './Item.js';
import { createCrashLine, classifyResult, type ItemOutcome } from './classifyResult.js';
import { keepLease, type Lease } from './keepLease.js';
import { Notifier } from './Notifier.js';

/** Maximum attempts of an item that fails with transient errors. */
const MAX_ATTEMPTS = 3;

/**
 * Number of crashes under an item after which it is not run again, over all holders of its chunk. Several targets may crash
 * under a sound item when targets crash for another reason.
 */
const MAX_CRASHES = 6;

/**
 * Delay after the first crash under an item; doubles with each crash, so that the last one comes at least a minute after
 * the first. Each delay is shorter than the time after which an idle chunk is released. Unit: ms.
 */
const INITIAL_CRASH_DELAY_MS = 2000;

/** Number of lapsed claims after which items run one at a time, each recorded before it runs. */
const LAPSES_BEFORE_SERIAL_MODE = 2;

/** Delay before the first retry of an item; doubles with each attempt. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 1000;

/** Delay before a platform call that got no response is retried. Unit: ms. */
const PLATFORM_RETRY_DELAY_MS = 2000;

/** Timeout for one attempt, so that an item that never ends does not block its chunk. Unit: ms. */
export const ITEM_TIMEOUT_MS = 300_000;

/** Interval between checks of the job row. Unit: ms. */
export const JOB_CHECK_INTERVAL_MS = 5000;

/** A chunk is released to other agents when none of its items could run for this long. Unit: ms. */
const IDLE_TIMEOUT_MS = 60_000;

/** Timeout for commit retries; fencing makes a late commit harmless. Unit: ms. */
const COMMIT_TIMEOUT_MS = 600_000;

/** Outcome of a chunk run. */
export type ChunkRunOutcome =
  | 'committed'
  | 'released'
  /** Another agent holds the chunk, or may hold it. */
  | 'lost'
  /** The job was cancelled. */
  | 'ended'
  /** Neither the commit nor the release got a response from the platform; the lease lapses. */
  | 'abandoned';

/** How one phase of the run starts items. */
interface Phase {
  readonly queue: Item[];
  readonly limit: number;
  readonly acquire: (signal: AbortSignal) => Promise<BatchSlot | undefined>;
  /** Whether each item is recorded in the chunk row before it runs. */
  readonly recordsRunning: boolean;
}

/** Runs one claimed chunk. */
export class ChunkRun {
  /** Aborted, with the outcome as reason, when work on the chunk must stop immediately. */
  private readonly abortController = new AbortController();

  /** Aborted when the chunk is to be released once its running items have ended. */
  private readonly stopping = new AbortController();

  /** Aborted when no further items may start. */
  private readonly stopSignal = AbortSignal.any([
    this.abortController.signal,
    this.stopping.signal,
  ]);

  private readonly change = new Notifier();

  private readonly pendingItems: Item[] = [];

  /** Items that were in flight when a target crashed. */
  private readonly suspectItems: Item[] = [];

  /** Indices of the items that were in flight at each crash, as in the claim. */
  private readonly crashed: number[];

  /** Resolves when the crashes so far are recorded in the chunk row, or could not be. */
  private crashRecord: Promise<void> = Promise.resolve();

  private lines: (ResultLine | undefined)[] = [];

  private running = 0;

  /** Number of items that wait for their retry delay. */
  private paused = 0;

  /** Time at which the target last finished an item, successfully or not. */
  private lastProgressAt: number;

  private isLoaded = false;

  private readonly lease: Lease;

  /**
   * @param dependencies - target, stores and clock
   * @param claim - the claimed chunk
   * @param onQueueEmpty - called when no items are left to start, so that another chunk can be
   *   claimed
   */
  constructor(
    private readonly dependencies: ChunkDependencies,
    private readonly claim: Claim,
    private readonly onQueueEmpty: () => void,
  ) {
    // Each delayed item adds a listener, so a chunk can exceed the default limit.
    setMaxListeners(0, this.stopSignal);
    this.lastProgressAt = dependencies.clock.monotonic();
    this.crashed = [...claim.crashed];
    this.lease = keepLease(dependencies, claim, (reason) => this.abort(reason));
  }

  /** Id of the job that the chunk belongs to. */
  get job(): string {
    return this.claim.job.id;
  }

  /** Whether no items are waiting to be started. */
  get isQueueEmpty(): boolean {
    return this.isLoaded && this.pendingItems.length === 0;
  }

  /** Stops immediately because the job was cancelled. */
  cancel(): void {
    this.abort('ended');
  }

  /** Stops starting items; once the running ones have ended, the chunk is released. */
  stop(): void {
    this.stopping.abort();
    this.change.notify();
  }

  /**
   * Runs the chunk.
   *
   * @returns the outcome; failures of the target or the platform never reject the promise
   */
  async run(): Promise<ChunkRunOutcome> {
    void this.supervise();
    try {
      if (await this.load()) await this.runItems();
      return await this.finish();
    } finally {
      this.lease.stop();
      this.stopping.abort();
      this.change.notify();
    }
  }

  private abort(reason: ChunkRunOutcome): void {
    this.abortController.abort(reason);
    this.change.notify();
  }

  private get abortReason(): ChunkRunOutcome | undefined {
    return this.abortController.signal.aborted
      ? (this.abortController.signal.reason as ChunkRunOutcome)
      : undefined;
  }

  /** Checks the job row periodically, and stops when no item can run on this target. */
  private async supervise(): Promise<void> {
    const { clock, jobs } = this.dependencies;
    while (!this.stopSignal.aborted) {
      await clock.waitUntil(clock.monotonic() + JOB_CHECK_INTERVAL_MS, this.stopSignal);
      if (this.stopSignal.aborted) return;
      const job = await jobs.get(this.job);
      const isGone = job.isErr() && job.error.kind === 'not-found';
      if (isGone || (job.isOk() && job.value.state !== 'open')) this.abort('ended');
      const isIdle =
        this.running === 0 && clock.monotonic() > this.lastProgressAt + IDLE_TIMEOUT_MS;
      if (isIdle && !this.completeResult) this.stop();
    }
  }

  private async load(): Promise<boolean> {
    const { chunks, clock } = this.dependencies;
    while (!this.stopSignal.aborted) {
      const input = await chunks.readInput(this.claim);
      if (input.isOk()) {
        this.enqueueItems(parseChunk(input.value));
        return true;
      }
      await clock.waitUntil(clock.monotonic() + PLATFORM_RETRY_DELAY_MS, this.stopSignal);
    }
    return false;
  }

  private enqueueItems(items: Item[]): void {
    this.lines = items.map(() => undefined);
    items.forEach((item) => {
      const crashes = this.crashed.filter((index) => index === item.index).length;
      Object.assign(item, { crashes });
      if (crashes >= MAX_CRASHES) this.setResult(item, createCrashLine(this.claim, item));
      else if (crashes > 0) this.suspectItems.push(item);
      else this.pendingItems.push(item);
    });
    this.isLoaded = true;
  }

  private async runItems(): Promise<void> {
    const { target } = this.dependencies;
    const isSerial = this.claim.lapses >= LAPSES_BEFORE_SERIAL_MODE;
    await this.runQueue({
      queue: this.pendingItems,
      limit: isSerial ? 1 : Infinity,
      acquire: (signal) => target.acquireBatchSlot(signal),
      recordsRunning: isSerial,
    });
    await this.runQueue({
      queue: this.suspectItems,
      limit: 1,
      acquire: (signal) => target.acquireExclusiveSlot(signal),
      recordsRunning: isSerial,
    });
  }

  /** Runs the items of a queue until none are left or no further items may start. */
  private async runQueue(phase: Phase): Promise<void> {
    const { queue, limit, acquire } = phase;
    while (!this.stopSignal.aborted) {
      if (queue.length === 0 && this.running === 0 && this.paused === 0) return;
      if (queue.length === 0 || this.running >= limit) {
        await this.change.next();
        continue;
      }
      const slot = await acquire(this.stopSignal);
      if (!slot) break;
      const item = this.stopSignal.aborted ? undefined : queue.shift();
      if (item) void this.runInSlot(item, slot, phase);
      else slot.release();
      if (queue.length === 0) this.onQueueEmpty();
    }
    while (this.running > 0) await this.change.next();
  }

  private async runInSlot(item: Item, slot: BatchSlot, { recordsRunning }: Phase): Promise<void> {
    this.running += 1;
    try {
      const isRecorded = !recordsRunning || (await this.recordRunning(item));
      if (isRecorded) this.applyOutcome(item, await this.runAttempt(item, slot));
      else this.requeueAfter(item, PLATFORM_RETRY_DELAY_MS);
    } finally {
      slot.release();
      this.running -= 1;
      this.change.notify();
    }
  }

  private async recordRunning(item: Item): Promise<boolean> {
    await this.crashRecord;
    const recorded = await this.dependencies.chunks.recordRunning(this.claim, item.index);
    if (recorded.isOk()) return true;
    const { kind } = recorded.error;
    if (kind === 'lost' || kind === 'ended') this.abort(kind);
    return false;
  }

  /** Records the crashes in the chunk row, one write after the other. Without a response, the next crash records all. */
  private recordCrashes(): void {
    this.crashRecord = this.crashRecord.then(async () => {
      const recorded = await this.dependencies.chunks.recordCrashes(this.claim, this.crashed);
      const kind = recorded.isErr() ? recorded.error.kind : undefined;
      if (kind === 'lost' || kind === 'ended') this.abort(kind);
    });
  }

  private async runAttempt(item: Item, slot: BatchSlot): Promise<ItemOutcome> {
    if (!this.lease.isHeld()) {
      this.abort('lost');
      return { kind: 'put-back' };
    }
    const request = {
      method: item.line.method,
      path: item.line.url,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(item.line.body),
    };
    const result = await this.runWithTimeout(request, slot);
    if (slot.preempted.aborted && result.isErr()) {
      this.dependencies.metrics.count('batch.preempted');
    }
    const isInterrupted = this.abortController.signal.aborted || slot.preempted.aborted;
    return classifyResult(this.claim, item, result, isInterrupted);
  }

  /** Runs a request and cancels it at the target after {@link ITEM_TIMEOUT_MS}. */
  private async runWithTimeout(
    request: TargetRequest,
    { preempted }: BatchSlot,
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const { clock, target } = this.dependencies;
    const ended = new AbortController();
    const timeout = new AbortController();
    void clock.waitUntil(clock.monotonic() + ITEM_TIMEOUT_MS, ended.signal).then(() => {
      if (!ended.signal.aborted) timeout.abort();
    });
    const signal = AbortSignal.any([this.abortController.signal, preempted, timeout.signal]);
    const result = await target.run(request, signal);
    ended.abort();
    if (result.isOk() || !timeout.signal.aborted) return result;
    return err({ kind: 'failed', message: `no response within ${ITEM_TIMEOUT_MS} ms` });
  }

  private readonly outcomeHandlers: {
    readonly [Kind in ItemOutcome['kind']]: (
      item: Item,
      outcome: Extract<ItemOutcome, { kind: Kind }>,
    ) => void;
  } = {
    finished: (item, { line }) => this.setResult(item, line),
    'put-back': (item) => this.requeue(item),
    'not-sent': (item) => this.requeueAfter(item, INITIAL_RETRY_DELAY_MS),
    failed: (item, { line }) => {
      const delayMs = INITIAL_RETRY_DELAY_MS * 2 ** item.attempts;
      Object.assign(item, { attempts: item.attempts + 1 });
      if (item.attempts >= MAX_ATTEMPTS) this.setResult(item, line);
      else this.requeueAfter(item, delayMs);
    },
    crashed: (item, { line }) => {
      const delayMs = INITIAL_CRASH_DELAY_MS * 2 ** item.crashes;
      Object.assign(item, { crashes: item.crashes + 1 });
      this.crashed.push(item.index);
      this.recordCrashes();
      if (item.crashes >= MAX_CRASHES) this.setResult(item, line);
      else this.requeueAfter(item, delayMs);
    },
  };

  private applyOutcome(item: Item, outcome: ItemOutcome): void {
    if ('line' in outcome) this.lastProgressAt = this.dependencies.clock.monotonic();
    const handle = this.outcomeHandlers[outcome.kind] as (item: Item, outcome: ItemOutcome) => void;
    handle(item, outcome);
  }

  private setResult(item: Item, line: ResultLine): void {
    this.lines[item.index] = line;
    const outcome = line.error?.code ?? (isSuccess(line) ? 'succeeded' : 'failed');
    this.dependencies.metrics.count('batch.items', { outcome });
  }

  private requeue(item: Item): void {
    if (item.crashes > 0) this.suspectItems.push(item);
    else this.pendingItems.unshift(item);
  }

  private requeueAfter(item: Item, delayMs: number): void {
    const { clock } = this.dependencies;
    this.paused += 1;
    void clock.waitUntil(clock.monotonic() + delayMs, this.stopSignal).then(() => {
      this.paused -= 1;
      this.requeue(item);
      this.change.notify();
    });
  }

  private get completeResult(): ResultLine[] | undefined {
    const lines = this.lines.filter((line) => line !== undefined);
    return this.isLoaded && lines.length === this.lines.length ? lines : undefined;
  }

  private async finish(): Promise<ChunkRunOutcome> {
    await this.crashRecord;
    const lines = this.completeResult;
    // A complete result is committed even after the lease has lapsed: if another agent has claimed
    // the chunk, fencing rejects the commit, and during an outage of the table none can have.
    if (lines && this.abortReason !== 'ended') return this.commit(lines);
    if (this.abortReason !== undefined) return this.abortReason;
    const released = await this.dependencies.chunks.release(this.claim);
    return released.isOk() ? 'released' : 'abandoned';
  }

  private async commit(lines: readonly ResultLine[]): Promise<ChunkRunOutcome> {
    const { chunks, clock, metrics } = this.dependencies;
    const deadline = clock.monotonic() + COMMIT_TIMEOUT_MS;
    for (;;) {
      const committed = await chunks.commit(this.claim, lines);
      const outcome = committed.isOk() ? 'committed' : committed.error.kind;
      metrics.count('batch.commits', { outcome });
      if (outcome === 'committed' || outcome === 'lost' || outcome === 'ended') return outcome;
      if (this.abortReason === 'ended') return 'ended';
      if (this.stopping.signal.aborted || clock.monotonic() > deadline) return 'abandoned';
      await clock.waitUntil(clock.monotonic() + PLATFORM_RETRY_DELAY_MS, this.stopping.signal);
    }
  }
}
