/** A job that this host runs: its unfinished items, and the results that are not stored yet. */
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

/** Maximum results in a transaction, which holds at most 100 entries and 1 MB. */
const MAX_RESULTS_PER_TRANSACTION = 16;

/** Delay after a failed write of results. Unit: ms. */
const WRITE_RETRY_DELAY_MS = 200;

/** Interval between saves of a job's progress: if a host fails, each run loses at most this much. Unit: ms. */
const SAVE_INTERVAL_MS = 2000;

/** Minimum number of new events of an item since its last save before it is saved again. */
const MIN_NEW_EVENTS = 10;

/** Limits for a job's items, from the configuration of its route. */
export type JobPolicy = Pick<Route, 'attempts' | 'completionTargetMs' | 'retentionMs'>;

/** Dependencies of {@link HeldJob}. */
export interface HeldJobDependencies {
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
  readonly journal: Journal;
  /** Name and incarnation of this host. */
  readonly holder: readonly [string, number];
}

export class HeldJob {
  readonly tasks = new Map<number, ItemTask>();

  /** Monotonic time at which all results are due. Unit: ms. */
  readonly dueAt: number;

  private readonly unstoredResults: NewResult[] = [];

  /** Write of results in progress. */
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
   * Returns the newest known state of the job.
   *
   * @returns its record
   */
  get record(): JobRecord {
    return this.job.record;
  }

  /**
   * Checks whether this process still holds the job.
   *
   * @returns whether the job is open and this process is its holder
   */
  get isHeld(): boolean {
    const { holder } = this.record;
    const [name, incarnation] = this.dependencies.holder;
    return isOpen(this.record) && holder?.[0] === name && holder[1] === incarnation;
  }

  /**
   * Applies a newer state. Cancels all runs if this process no longer holds the job.
   *
   * @param job - state from the store
   */
  applyState(job: VersionedJob): void {
    if (job.revision <= this.job.revision) return;
    this.reconcile(job);
  }

  /**
   * Restores the outputs that the previous holder saved, so that the items continue from there.
   *
   * @param outputs - output of unfinished items by their index
   */
  resume(outputs: ReadonlyMap<number, ItemOutput>): void {
    outputs.forEach((output, index) => this.tasks.get(index)?.resume(output));
  }

  /**
   * Saves the output of running items, at most once per save interval.
   *
   * @param now - monotonic time. Unit: ms
   */
  saveProgress(now = performance.now()): void {
    if (now < this.nextSaveAt || !this.isHeld) return;
    this.nextSaveAt = now + SAVE_INTERVAL_MS;
    void this.saveOutputs(MIN_NEW_EVENTS);
  }

  /**
   * Cancels the runs and stores all results and the output of unfinished items, before another host takes
   * the job over. Items whose results are not stored would run again.
   *
   * @param deadline - monotonic time after which pending writes are no longer waited for. Unit: ms
   * @returns when everything is stored, or the deadline has passed
   */
  async handOver(deadline: number): Promise<void> {
    this.cancelRuns();
    await Promise.race([this.waitForWrites(), systemClock.sleep(deadline - performance.now())]);
    await this.saveOutputs(1);
  }

  /** Cancels all runs but keeps their output. */
  cancelRuns(): void {
    this.tasks.forEach(({ run }) => run?.controller.abort('job no longer runs on this host'));
  }

  /**
   * Records the final state of an item and writes its result to the store.
   *
   * @param task - the item
   * @param state - its final state
   */
  finish(task: ItemTask, state: ItemState): void {
    this.tasks.delete(task.index);
    this.unstoredResults.push({
      index: task.index,
      item: task.item.id,
      state,
      text: state === 'completed' ? task.response.text : '',
      hasProgress: task.hasSavedOutput,
    });
    this.pendingWrite ??= this.writeResults();
  }

  /**
   * Waits for pending writes.
   *
   * @returns when all results are stored, or the job is no longer held
   */
  async waitForWrites(): Promise<void> {
    await this.pendingWrite;
  }

  private async saveOutputs(minNewEvents: number): Promise<void> {
    const { progress, journal } = this.dependencies;
    const eventCounts = new Map<number, number>();
    const outputs: [number, ItemOutput][] = [];
    this.tasks.forEach(({ response, savedEventCount }, index) => {
      const { resumableOutput: output } = response;
      if (!output || response.resumableEventCount - savedEventCount < minNewEvents) return;
      eventCounts.set(index, response.resumableEventCount);
      outputs.push([index, output]);
    });
    const saved = await progress.save(this.job, outputs);
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
      if (!task) return;
      task.savedEventCount = eventCounts.get(index) ?? 0;
      task.hasSavedOutput = true;
    });
  }

  /** Writes all results to the store, several per transaction. */
  private async writeResults(): Promise<void> {
    while (this.unstoredResults.length > 0 && this.isHeld) await this.writeNextResults();
    this.pendingWrite = undefined;
  }

  /**
   * Applies a state from the store. Results that it contains are not written again: they may come from a
   * write whose response was lost.
   */
  private reconcile(job: VersionedJob): void {
    if (job.revision > this.job.revision) this.job = job;
    const storedIndexes = new Set(this.record.listed.map(([index]) => index));
    const unstored = this.unstoredResults.filter(({ index }) => !storedIndexes.has(index));
    this.unstoredResults.splice(0, this.unstoredResults.length, ...unstored);
    storedIndexes.forEach((index) => {
      this.tasks.get(index)?.run?.controller.abort('result already stored');
      this.tasks.delete(index);
    });
    if (!this.isHeld) this.cancelRuns();
  }

  private async writeNextResults(): Promise<void> {
    const results = this.unstoredResults.slice(0, MAX_RESULTS_PER_TRANSACTION);
    const appended = await this.dependencies.jobs.appendResults(this.job, results);
    if (appended.isErr()) {
      this.dependencies.journal.record('results-delayed', {
        job: this.record.id,
        results: results.length,
        kind: appended.error.kind,
      });
      await systemClock.sleep(WRITE_RETRY_DELAY_MS);
      return;
    }
    this.reconcile(appended.value);
  }
}
