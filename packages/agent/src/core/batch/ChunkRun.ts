/** The run of one claimed chunk, from its input to the commit of its results. */
import { setMaxListeners } from 'node:events';
import type { Claim } from '@jacinthlug/batch/ChunkStore';
import { isSuccess, type ResultLine } from '@jacinthlug/batch/results/resultLine';
import { err, type Result } from 'neverthrow';
import type { BatchSlot, TargetAnswer, TargetFailure, TargetRequest } from '../TargetAccess.js';
import type { ChunkDependencies } from './ChunkDependencies.js';
import { parseChunk, type Item } from './Item.js';
import { crashLine, judgeAnswer, type Verdict } from './judgeAnswer.js';
import { keepLease, type Lease } from './keepLease.js';
import { Notifier } from './Notifier.js';

/** Runs of an item that may end with a transient failure. */
const MAX_ATTEMPTS = 3;

/** Crashes of the target after which an item is not run again. */
const MAX_CRASHES = 2;

/** Lapsed claims after which the items run one at a time, recorded first. */
const LAPSES_BEFORE_CAUTION = 2;

/** Pause before another run of an item; doubles with each attempt. Unit: ms. */
const RETRY_MS = 1000;

/** Pause before another try when the platform does not answer. Unit: ms. */
const PLATFORM_RETRY_MS = 2000;

/** Time that one run of an item may take; an item without end must not hold its chunk. Unit: ms. */
export const ITEM_LIMIT_MS = 300_000;

/** Time between checks of the job row. Unit: ms. */
export const JOB_CHECK_MS = 5000;

/** A chunk none of whose items could run for this long goes to another agent. Unit: ms. */
const IDLE_LIMIT_MS = 60_000;

/** How long a commit is tried; fencing keeps a late one harmless. Unit: ms. */
const COMMIT_LIMIT_MS = 600_000;

/** How the run of a chunk ended. */
export type RunEnd =
  | 'committed'
  | 'released'
  /** Another agent has the chunk, or may have it. */
  | 'lost'
  /** The job was cancelled. */
  | 'ended'
  /** The platform answered neither commit nor release; the lease lapses. */
  | 'abandoned';

/** How items enter the target in one phase of a run. */
interface Phase {
  readonly queue: Item[];
  readonly limit: number;
  readonly acquire: (signal: AbortSignal) => Promise<BatchSlot | undefined>;
  /** Whether the item is recorded in the chunk row before it runs. */
  readonly records: boolean;
}

/** The run of one claimed chunk. */
export class ChunkRun {
  /** Aborted when work on the chunk must stop at once, with the reason. */
  private readonly cut = new AbortController();

  /** Aborted when the chunk is to be given back. */
  private readonly stopping = new AbortController();

  /** Aborted when no more items may start. */
  private readonly halted = AbortSignal.any([this.cut.signal, this.stopping.signal]);

  private readonly change = new Notifier();

  private readonly waiting: Item[] = [];

  /** Items that were in the target when it crashed. */
  private readonly suspected: Item[] = [];

  private lines: (ResultLine | undefined)[] = [];

  private running = 0;

  /** Items in a pause before another run. */
  private paused = 0;

  /** When the target last took an item to an end, whichever. */
  private progressAt: number;

  private loaded = false;

  private readonly lease: Lease;

  /**
   * @param dependencies - target, stores and clock
   * @param claim - the claimed chunk
   * @param onHungry - called when no item waits any more, so that another chunk can be claimed
   */
  constructor(
    private readonly dependencies: ChunkDependencies,
    private readonly claim: Claim,
    private readonly onHungry: () => void,
  ) {
    // Each item in a pause listens, so the number of listeners is that of the items.
    setMaxListeners(0, this.halted);
    this.progressAt = dependencies.clock.monotonic();
    this.lease = keepLease(dependencies, claim, (end) => this.abort(end));
  }

  /** Id of the job that the chunk belongs to. */
  get job(): string {
    return this.claim.job.id;
  }

  /** Whether the chunk has no items to start. */
  get isHungry(): boolean {
    return this.loaded && this.waiting.length === 0;
  }

  /** Stops at once because the job was cancelled. */
  cancel(): void {
    this.abort('ended');
  }

  /** Starts no more items; those that run end, then the chunk is released. */
  stop(): void {
    this.stopping.abort();
    this.change.notify();
  }

  /**
   * Runs the chunk.
   *
   * @returns how it ended; never rejects on failures of target or platform
   */
  async run(): Promise<RunEnd> {
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

  private abort(reason: RunEnd): void {
    this.cut.abort(reason);
    this.change.notify();
  }

  private get cutReason(): RunEnd | undefined {
    return this.cut.signal.aborted ? (this.cut.signal.reason as RunEnd) : undefined;
  }

  /** Checks the job row, and gives up a chunk whose items cannot run here. */
  private async supervise(): Promise<void> {
    const { clock, jobs } = this.dependencies;
    while (!this.halted.aborted) {
      await clock.waitUntil(clock.monotonic() + JOB_CHECK_MS, this.halted);
      if (this.halted.aborted) return;
      const job = await jobs.get(this.job);
      const isGone = job.isErr() && job.error.kind === 'not-found';
      if (isGone || (job.isOk() && job.value.state !== 'open')) this.abort('ended');
      const isIdle = this.running === 0 && clock.monotonic() > this.progressAt + IDLE_LIMIT_MS;
      if (isIdle && !this.wholeResult) this.stop();
    }
  }

  private async load(): Promise<boolean> {
    const { chunks, clock } = this.dependencies;
    while (!this.halted.aborted) {
      const input = await chunks.readInput(this.claim);
      if (input.isOk()) {
        this.fill(parseChunk(input.value));
        return true;
      }
      await clock.waitUntil(clock.monotonic() + PLATFORM_RETRY_MS, this.halted);
    }
    return false;
  }

  private fill(items: Item[]): void {
    this.lines = items.map(() => undefined);
    items.forEach((item) => {
      if (this.claim.crashed.includes(item.index)) this.settle(item, crashLine(this.claim, item));
      else this.waiting.push(item);
    });
    this.loaded = true;
  }

  private async runItems(): Promise<void> {
    const { target } = this.dependencies;
    const isCautious = this.claim.lapses >= LAPSES_BEFORE_CAUTION;
    await this.drain({
      queue: this.waiting,
      limit: isCautious ? 1 : Infinity,
      acquire: (signal) => target.acquireBatchSlot(signal),
      records: isCautious,
    });
    await this.drain({
      queue: this.suspected,
      limit: 1,
      acquire: (signal) => target.acquireAlone(signal),
      records: isCautious,
    });
  }

  /** Runs the items of a queue until none is left or no more may start. */
  private async drain(phase: Phase): Promise<void> {
    const { queue, limit, acquire } = phase;
    while (!this.halted.aborted) {
      if (queue.length === 0 && this.running === 0 && this.paused === 0) return;
      if (queue.length === 0 || this.running >= limit) {
        await this.change.next();
        continue;
      }
      const slot = await acquire(this.halted);
      if (!slot) break;
      const item = this.halted.aborted ? undefined : queue.shift();
      if (item) void this.runInSlot(item, slot, phase);
      else slot.release();
      if (queue.length === 0) this.onHungry();
    }
    while (this.running > 0) await this.change.next();
  }

  private async runInSlot(item: Item, slot: BatchSlot, { records }: Phase): Promise<void> {
    this.running += 1;
    try {
      const isRecorded = !records || (await this.record(item));
      if (isRecorded) this.apply(item, await this.runOnce(item, slot));
      else this.pause(item, PLATFORM_RETRY_MS);
    } finally {
      slot.release();
      this.running -= 1;
      this.change.notify();
    }
  }

  private async record(item: Item): Promise<boolean> {
    const recorded = await this.dependencies.chunks.recordRunning(this.claim, item.index);
    if (recorded.isOk()) return true;
    const { kind } = recorded.error;
    if (kind === 'lost' || kind === 'ended') this.abort(kind);
    return false;
  }

  private async runOnce(item: Item, slot: BatchSlot): Promise<Verdict> {
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
    const result = await this.runWithin(request, slot);
    if (slot.preempted.aborted && result.isErr()) {
      this.dependencies.metrics.count('batch.preempted');
    }
    const isInterrupted = this.cut.signal.aborted || slot.preempted.aborted;
    return judgeAnswer(this.claim, item, result, isInterrupted);
  }

  /** Runs a request, and cancels it at the target when it takes too long. */
  private async runWithin(
    request: TargetRequest,
    { preempted }: BatchSlot,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const { clock, target } = this.dependencies;
    const ended = new AbortController();
    const late = new AbortController();
    void clock.waitUntil(clock.monotonic() + ITEM_LIMIT_MS, ended.signal).then(() => {
      if (!ended.signal.aborted) late.abort();
    });
    const signal = AbortSignal.any([this.cut.signal, preempted, late.signal]);
    const result = await target.run(request, signal);
    ended.abort();
    if (result.isOk() || !late.signal.aborted) return result;
    return err({ kind: 'failed', message: `no answer within ${ITEM_LIMIT_MS} ms` });
  }

  private readonly verdictHandlers: {
    readonly [Kind in Verdict['kind']]: (
      item: Item,
      verdict: Extract<Verdict, { kind: Kind }>,
    ) => void;
  } = {
    finished: (item, { line }) => this.settle(item, line),
    'put-back': (item) => this.putBack(item),
    'not-sent': (item) => this.pause(item, RETRY_MS),
    failed: (item, { line }) => {
      const pauseMs = RETRY_MS * 2 ** item.attempts;
      Object.assign(item, { attempts: item.attempts + 1 });
      if (item.attempts >= MAX_ATTEMPTS) this.settle(item, line);
      else this.pause(item, pauseMs);
    },
    crashed: (item, { line }) => {
      Object.assign(item, { crashes: item.crashes + 1 });
      if (item.crashes >= MAX_CRASHES) this.settle(item, line);
      else this.putBack(item);
    },
  };

  private apply(item: Item, verdict: Verdict): void {
    if ('line' in verdict) this.progressAt = this.dependencies.clock.monotonic();
    const handle = this.verdictHandlers[verdict.kind] as (item: Item, verdict: Verdict) => void;
    handle(item, verdict);
  }

  private settle(item: Item, line: ResultLine): void {
    this.lines[item.index] = line;
    const outcome = line.error?.code ?? (isSuccess(line) ? 'succeeded' : 'failed');
    this.dependencies.metrics.count('batch.items', { outcome });
  }

  private putBack(item: Item): void {
    if (item.crashes > 0) this.suspected.push(item);
    else this.waiting.unshift(item);
  }

  private pause(item: Item, pauseMs: number): void {
    const { clock } = this.dependencies;
    this.paused += 1;
    void clock.waitUntil(clock.monotonic() + pauseMs, this.halted).then(() => {
      this.paused -= 1;
      this.putBack(item);
      this.change.notify();
    });
  }

  private get wholeResult(): ResultLine[] | undefined {
    const lines = this.lines.filter((line) => line !== undefined);
    return this.loaded && lines.length === this.lines.length ? lines : undefined;
  }

  private async finish(): Promise<RunEnd> {
    const lines = this.wholeResult;
    // A whole result is committed even after a lapse: fencing decides, and after an outage of the
    // table nobody else can have claimed the chunk.
    if (lines && this.cutReason !== 'ended') return this.commit(lines);
    if (this.cutReason !== undefined) return this.cutReason;
    const released = await this.dependencies.chunks.release(this.claim);
    return released.isOk() ? 'released' : 'abandoned';
  }

  private async commit(lines: readonly ResultLine[]): Promise<RunEnd> {
    const { chunks, clock, metrics } = this.dependencies;
    const commitBy = clock.monotonic() + COMMIT_LIMIT_MS;
    for (;;) {
      const committed = await chunks.commit(this.claim, lines);
      const outcome = committed.isOk() ? 'committed' : committed.error.kind;
      metrics.count('batch.commits', { outcome });
      if (outcome === 'committed' || outcome === 'lost' || outcome === 'ended') return outcome;
      if (this.cutReason === 'ended') return 'ended';
      if (this.stopping.signal.aborted || clock.monotonic() > commitBy) return 'abandoned';
      await clock.waitUntil(clock.monotonic() + PLATFORM_RETRY_MS, this.stopping.signal);
    }
  }
}
