/** Cache of all batch jobs, filled from the store. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { parseJson } from '../store/parseJson.js';
import { isSameKey } from '../store/recordKeys.js';
import type { RecordChange, RecordKey, StoredRecord } from '../store/RecordStore.js';
import type { TableListener } from '../store/TableFollower.js';
import { JOBS_TABLE } from './jobKeys.js';
import { identifyJob, jobRecord, type JobRecord } from './JobRecord.js';

/** A job with the key and the revision of its row. */
export interface VersionedJob {
  readonly record: JobRecord;
  /** The keys of all rows of the job begin with it. */
  readonly key: RecordKey;
  readonly revision: number;
}

const identifyKey = ({ partition, key }: RecordKey): string => JSON.stringify([partition, key]);

/** Holds the newest known state of each job. */
export class JobCache implements TableListener {
  /** By the texts that identify the jobs. */
  private readonly jobs = new Map<string, VersionedJob>();

  private readonly listeners = new Set<(job: VersionedJob) => void>();

  constructor(private readonly journal: Journal) {}

  replace(records: readonly StoredRecord[], revision: number): void {
    const present = new Set(records.map(identifyKey));
    this.all()
      // A job that was written after the table was read is missing from the records but must stay.
      .filter((job) => !present.has(identifyKey(job.key)) && job.revision <= revision)
      .forEach(({ record }) => this.jobs.delete(identifyJob(record)));
    records.forEach((record) => this.applyRecord(record));
  }

  apply(changes: readonly RecordChange[]): void {
    changes.forEach((change) => {
      if (change.kind === 'written') this.applyRecord(change.record);
      else this.removeRow(change.key);
    });
  }

  /**
   * Applies the row of a job, unless a newer state is known.
   *
   * @param record - the row
   * @returns the newest known state; nothing if the row is not a valid job
   */
  applyRecord(record: StoredRecord): VersionedJob | undefined {
    const parsed = jobRecord.safeParse(parseJson(record.value));
    if (!parsed.success) {
      this.journal.record('record-unreadable', { table: JOBS_TABLE, key: record.key });
      return undefined;
    }
    const { table, partition, key, revision } = record;
    return this.put({ record: parsed.data, key: { table, partition, key }, revision });
  }

  /**
   * Adds a job state, unless a newer one is known, and notifies the listeners.
   *
   * @param job - the state with its revision
   * @returns the newest known state
   */
  put(job: VersionedJob): VersionedJob {
    const name = identifyJob(job.record);
    const known = this.jobs.get(name);
    if (known && known.revision >= job.revision) return known;
    this.jobs.set(name, job);
    this.listeners.forEach((listener) => listener(job));
    return job;
  }

  /**
   * Finds a job.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @returns its newest known state
   */
  find(account: string, id: string): VersionedJob | undefined {
    return this.jobs.get(identifyJob({ account, id }));
  }

  /**
   * Removes a job whose row was removed from the store.
   *
   * @param account - name of the account
   * @param id - id of the job
   */
  remove(account: string, id: string): void {
    this.jobs.delete(identifyJob({ account, id }));
  }

  /**
   * Lists all jobs.
   *
   * @returns their newest known states
   */
  all(): VersionedJob[] {
    return [...this.jobs.values()];
  }

  /**
   * Counts the tokens of an account's items that have no result yet.
   *
   * @param account - name of the account
   * @param route - name of the route
   * @returns total tokens of such items in jobs that were not ended
   */
  countWaitingTokens(account: string, route: string): number {
    return this.all()
      .filter(
        ({ record }) =>
          record.account === account && record.route === route && record.endedAt === null,
      )
      .reduce((sum, { record }) => {
        const listed = new Set(record.listed.map(([index]) => index));
        return record.items.reduce(
          (total, [, tokens], index) => total + (listed.has(index) ? 0 : tokens),
          sum,
        );
      }, 0);
  }

  /**
   * Adds a listener for changes of jobs.
   *
   * @param listener - called with the new state
   * @returns function that removes the listener
   */
  onChange(listener: (job: VersionedJob) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private removeRow(key: RecordKey): void {
    const removed = this.all().find((job) => isSameKey(job.key, key));
    if (removed) this.jobs.delete(identifyJob(removed.record));
  }
}
