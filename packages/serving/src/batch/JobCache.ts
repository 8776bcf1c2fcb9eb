/** All batch jobs as this host knows them from the store. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { parseJson } from '../store/parseJson.js';
import type { RecordChange, StoredRecord } from '../store/RecordStore.js';
import type { TableListener } from '../store/TableFollower.js';
import { JOBS_TABLE } from './jobKeys.js';
import { jobRecord, type JobRecord } from './JobRecord.js';

/** A job with the revision of its row. */
export interface VersionedJob {
  readonly record: JobRecord;
  readonly revision: number;
}

const cacheKey = (account: string, job: string): string => `${account}/${job}`;

/** Keeps the newest known state of each job. */
export class JobCache implements TableListener {
  private readonly jobs = new Map<string, VersionedJob>();

  private readonly listeners = new Set<(job: VersionedJob) => void>();

  constructor(private readonly journal: Journal) {}

  replace(records: readonly StoredRecord[], revision: number): void {
    const present = new Set(records.map(({ key }) => key));
    [...this.jobs.entries()]
      // A job that was written after the table was read is not in it.
      .filter(([name, job]) => !present.has(name) && job.revision <= revision)
      .forEach(([name]) => this.jobs.delete(name));
    records.forEach((record) => this.applyRecord(record));
  }

  apply(changes: readonly RecordChange[]): void {
    changes.forEach((change) => {
      if (change.kind === 'written') this.applyRecord(change.record);
      else this.jobs.delete(change.key.key);
    });
  }

  /**
   * Takes the row of a job, unless a newer one is known.
   *
   * @param record - the row
   * @returns the newest known state; nothing when the row is no job
   */
  applyRecord(record: StoredRecord): VersionedJob | undefined {
    const parsed = jobRecord.safeParse(parseJson(record.value));
    if (!parsed.success) {
      this.journal.record('record-unreadable', { table: JOBS_TABLE, key: record.key });
      return undefined;
    }
    return this.put({ record: parsed.data, revision: record.revision });
  }

  /**
   * Takes a state that this host has written.
   *
   * @param job - the state with its revision
   * @returns the newest known state
   */
  put(job: VersionedJob): VersionedJob {
    const name = cacheKey(job.record.account, job.record.id);
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
   * @param job - id of the job
   * @returns its newest known state
   */
  find(account: string, job: string): VersionedJob | undefined {
    return this.jobs.get(cacheKey(account, job));
  }

  /**
   * Forgets a job whose row was removed.
   *
   * @param account - name of the account
   * @param job - id of the job
   */
  remove(account: string, job: string): void {
    this.jobs.delete(cacheKey(account, job));
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
   * Adds up the tokens of an account's items that have no result yet.
   *
   * @param account - name of the account
   * @param route - name of the route
   * @returns tokens of the items of open jobs
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
   * Calls a listener at each change of a job.
   *
   * @param listener - called with the new state
   * @returns ends the calls
   */
  onChange(listener: (job: VersionedJob) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
