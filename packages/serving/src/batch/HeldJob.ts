/** A job that this host runs: its items, and the results that are not listed yet. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { Route } from '../configuration/ServingConfiguration.js';
import type { KnownJob } from './JobBook.js';
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
const RESULTS_AT_ONCE = 16;

/** Pause after a write that the store refused. Unit: ms. */
const REFUSED_PAUSE_MS = 200;

/** Time between two saves of a job's progress: at most this much of each run is lost with its host. Unit: ms. */
const SAVE_INTERVAL_MS = 2000;

/** Events that an item must have put out since the last save to be saved again. */
const LEAST_NEW_EVENTS = 10;

/** What a job's route says about its items. */
export type JobTerms = Pick<Route, 'attempts' | 'completionTargetMs' | 'retentionMs'>;

/** What a held job needs. */
export interface HeldJobNeeds {
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
  readonly due: number;

  private readonly finished: NewResult[] = [];

  /** The write in progress. */
  private writing: Promise<void> | undefined;

  /** Monotonic time before which progress is not saved. Unit: ms. */
  private saveFrom = performance.now() + SAVE_INTERVAL_MS;

  constructor(
    private job: KnownJob,
    readonly terms: JobTerms,
    input: JobInput,
    private readonly needs: HeldJobNeeds,
  ) {
    const { record } = job;
    this.due = performance.now() - needs.jobs.ageOf(record) + terms.completionTargetMs;
    const listed = new Set(record.listed.map(([index]) => index));
    input.forEach((item, index) => {
      if (!listed.has(index)) this.tasks.set(index, new ItemTask(index, item, terms.attempts));
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
    const [name, incarnation] = this.needs.holder;
    return isOpen(this.record) && holder?.[0] === name && holder[1] === incarnation;
  }

  /**
   * Takes a newer state; runs of a job that is no longer held are cancelled.
   *
   * @param job - state from the store
   */
  take(job: KnownJob): void {
    if (job.revision <= this.job.revision) return;
    this.adopt(job);
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
    if (now < this.saveFrom || !this.isHeld) return;
    this.saveFrom = now + SAVE_INTERVAL_MS;
    void this.saveOutputs(LEAST_NEW_EVENTS);
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
    await Promise.race([this.settled(), systemClock.sleep(deadline - performance.now())]);
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
    this.finished.push({
      index: task.index,
      item: task.item.id,
      state,
      text: state === 'completed' ? task.answer.text : '',
      hasProgress: task.savedEvents > 0,
    });
    this.writing ??= this.writeAll();
  }

  /**
   * Waits for the write in progress.
   *
   * @returns when every finished item is listed, or the job is no longer held
   */
  async settled(): Promise<void> {
    await this.writing;
  }

  private async saveOutputs(leastNew: number): Promise<void> {
    const { progress, journal } = this.needs;
    const sizes = new Map<number, number>();
    const outputs: [number, ItemOutput][] = [];
    this.tasks.forEach(({ answer, savedEvents }, index) => {
      const { output } = answer;
      if (!output || answer.resumableSize - savedEvents < leastNew) return;
      sizes.set(index, answer.resumableSize);
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
      if (task) task.savedEvents = sizes.get(index) ?? 0;
    });
  }

  /** Lists finished items, several in one transaction, until none is left. */
  private async writeAll(): Promise<void> {
    while (this.finished.length > 0 && this.isHeld) await this.writeOnce();
    this.writing = undefined;
  }

  /**
   * Goes on from a state of the store. What it lists is not listed again: it may come from a write whose
   * answer was lost.
   */
  private adopt(job: KnownJob): void {
    if (job.revision > this.job.revision) this.job = job;
    const present = new Set(this.record.listed.map(([index]) => index));
    const rest = this.finished.filter(({ index }) => !present.has(index));
    this.finished.splice(0, this.finished.length, ...rest);
    present.forEach((index) => {
      this.tasks.get(index)?.run?.controller.abort('listed already');
      this.tasks.delete(index);
    });
    if (!this.isHeld) this.cancelRuns();
  }

  private async writeOnce(): Promise<void> {
    const results = this.finished.slice(0, RESULTS_AT_ONCE);
    const listed = await this.needs.jobs.list(this.job, results);
    if (listed.isErr()) {
      this.needs.journal.record('results-delayed', {
        job: this.record.id,
        results: results.length,
        kind: listed.error.kind,
      });
      await systemClock.sleep(REFUSED_PAUSE_MS);
      return;
    }
    this.adopt(listed.value);
  }
}
