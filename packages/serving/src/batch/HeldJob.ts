/** A job that this host runs: its items, and the results that are not listed yet. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { Route } from '../configuration/ServingConfiguration.js';
import type { KnownJob } from './JobBook.js';
import { isOpen, type ItemState, type JobInput, type JobRecord } from './JobRecord.js';
import type { JobStore, NewResult } from './JobStore.js';
import { ItemTask } from './ItemTask.js';

/** Results of one transaction, which holds at most 100 entries and 1 MB. */
const RESULTS_AT_ONCE = 16;

/** Pause after a write that the store refused. Unit: ms. */
const REFUSED_PAUSE_MS = 200;

/** What a job's route says about its items. */
export type JobTerms = Pick<Route, 'attempts' | 'completionTargetMs' | 'retentionMs'>;

/** What a held job needs. */
export interface HeldJobNeeds {
  readonly jobs: JobStore;
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
