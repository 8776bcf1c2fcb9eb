/** A job that this host runs: its items, and the results that are not listed yet. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { Route } from '../configuration/ServingConfiguration.js';
import type { VersionedJob } from './JobCache.js';
import {
  isOpen,
  type ItemOutput,
  type ItemState,
  type JobInput,
  type JobRecord,
} from './JobRecord.js';
import type { JobStore, NewResult } from './JobStore.js';
import { ItemTask } from './ItemTask.js';
import type { ProgressStore } from './ProgressStore.js';

/** Results of one transaction, which holds at most 100 entries and 1 MB. */
const MAX_RESULTS_PER_TRANSACTION = 16;

/** Pause after a write that the store refused. Unit: ms. */
const WRITE_RETRY_DELAY_MS = 200;

/** Time between two saves of a job's progress: at most this much of each run is lost with its host. Unit: ms. */
const SAVE_INTERVAL_MS = 2000;

/** Events that an item must have put out since the last save to be saved again. */
const MIN_NEW_EVENTS = 10;

/** What a job's route says about its items. */
export type JobPolicy = Pick<Route, 'attempts' | 'completionTargetMs' | 'retentionMs'>;

/** What a held job needs. */
export interface HeldJobDependencies {
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
  readonly journal: Journal;
  /** Name and incarnation of this host. */
  readonly holder: readonly [string, number];
}

/** A job in the hands of this host. */
export class HeldJob {
  readonly tasks = new Map<number, ItemTask>();

  /** Monotonic time at which all results are due. Unit: ms. */
  readonly dueAt: number;

  private readonly unlistedResults: NewResult[] = [];

  /** The write in progress. */
  private pendingWrite: Promise<void> | undefined;

  /** Monotonic time before which progress is not saved. Unit: ms. */
  private nextSaveAt = performance.now() + SAVE_INTERVAL_MS;

  constructor(
    private job: VersionedJob,
    readonly policy: JobPolicy,
    input: JobInput,
    private readonly dependencies: HeldJobDependencies,
  ) {
    const { record } = job;
    this.dueAt = performance.now() - dependencies.jobs.ageOf(record) + policy.completionTargetMs;
    const listed = new Set(record.listed.map(([index]) => index));
    input.forEach((item, index) => {
      if (!listed.has(index)) this.tasks.set(index, new ItemTask(index, item, policy.attempts));
    });
  }

  /**
   * Gives the newest known state of the job.
   *
   * @returns its record
   */
  get record(): JobRecord {
    return this.job.record;
  }

  /**
   * Tells whether this host still runs the job.
   *
   * @returns whether the job is open and held by this process
   */
  get isHeld(): boolean {
    const { holder } = this.record;
    const [name, incarnation] = this.dependencies.holder;
    return isOpen(this.record) && holder?.[0] === name && holder[1] === incarnation;
  }

  /**
   * Takes a newer state; runs of a job that is no longer held are cancelled.
   *
   * @param job - state from the store
   */
  applyState(job: VersionedJob): void {
    if (job.revision <= this.job.revision) return;
    this.reconcile(job);
  }

  /**
   * Goes on from the outputs of a host that had the job before.
   *
   * @param outputs - output of unfinished items by their index
   */
  resume(outputs: ReadonlyMap<number, ItemOutput>): void {
    outputs.forEach((output, index) => this.tasks.get(index)?.resume(output));
  }

  /**
   * Saves what running items have put out, once in a while.
   *
   * @param now - monotonic time. Unit: ms
   */
  saveProgress(now = performance.now()): void {
    if (now < this.nextSaveAt || !this.isHeld) return;
    this.nextSaveAt = now + SAVE_INTERVAL_MS;
    void this.saveOutputs(MIN_NEW_EVENTS);
  }

  /**
   * Ends the runs, lists what is finished and saves what unfinished items have put out, before another host
   * takes the job. Results that are not listed would be worked out once more.
   *
   * @param deadline - monotonic time after which nothing is waited for. Unit: ms
   * @returns when the store has it all, or the time is up
   */
  async handOver(deadline: number): Promise<void> {
    this.cancelRuns();
    await Promise.race([this.waitForWrites(), systemClock.sleep(deadline - performance.now())]);
    await this.saveOutputs(1);
  }

  /** Cancels all runs; what they have put out is kept. */
  cancelRuns(): void {
    this.tasks.forEach(({ run }) => run?.controller.abort('job left this host'));
  }

  /**
   * Takes the final state of an item and lists it.
   *
   * @param task - the item
   * @param state - its final state
   */
  finish(task: ItemTask, state: ItemState): void {
    this.tasks.delete(task.index);
    this.unlistedResults.push({
      index: task.index,
      item: task.item.id,
      state,
      text: state === 'completed' ? task.response.text : '',
      hasProgress: task.savedEventCount > 0,
    });
    this.pendingWrite ??= this.writeResults();
  }

  /**
   * Waits for the write in progress.
   *
   * @returns when every finished item is listed, or the job is no longer held
   */
  async waitForWrites(): Promise<void> {
    await this.pendingWrite;
  }

  private async saveOutputs(leastNew: number): Promise<void> {
    const { progress, journal } = this.dependencies;
    const sizes = new Map<number, number>();
    const outputs: [number, ItemOutput][] = [];
    this.tasks.forEach(({ response: answer, savedEventCount: savedEvents }, index) => {
      const { resumableOutput: output } = answer;
      if (!output || answer.resumableEventCount - savedEvents < leastNew) return;
      sizes.set(index, answer.resumableEventCount);
      outputs.push([index, output]);
    });
    const saved = await progress.save(this.record, outputs);
    if (saved.isErr()) {
      journal.record('progress-unsaved', {
        job: this.record.id,
        items: outputs.length,
        kind: saved.error.kind,
      });
      return;
    }
    saved.value.forEach((index) => {
      const task = this.tasks.get(index);
      if (task) task.savedEventCount = sizes.get(index) ?? 0;
    });
  }

  /** Lists finished items, several in one transaction, until none is left. */
  private async writeResults(): Promise<void> {
    while (this.unlistedResults.length > 0 && this.isHeld) await this.writeNextResults();
    this.pendingWrite = undefined;
  }

  /**
   * Goes on from a state of the store. What it lists is not listed again: it may come from a write whose
   * answer was lost.
   */
  private reconcile(job: VersionedJob): void {
    if (job.revision > this.job.revision) this.job = job;
    const present = new Set(this.record.listed.map(([index]) => index));
    const rest = this.unlistedResults.filter(({ index }) => !present.has(index));
    this.unlistedResults.splice(0, this.unlistedResults.length, ...rest);
    present.forEach((index) => {
      this.tasks.get(index)?.run?.controller.abort('listed already');
      this.tasks.delete(index);
    });
    if (!this.isHeld) this.cancelRuns();
  }

  private async writeNextResults(): Promise<void> {
    const results = this.unlistedResults.slice(0, MAX_RESULTS_PER_TRANSACTION);
    const listed = await this.dependencies.jobs.appendResults(this.job, results);
    if (listed.isErr()) {
      this.dependencies.journal.record('results-delayed', {
        job: this.record.id,
        results: results.length,
        kind: listed.error.kind,
      });
      await systemClock.sleep(WRITE_RETRY_DELAY_MS);
      return;
    }
    this.reconcile(listed.value);
  }
}
