/** Follows the changes of one table by long polling. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock, type Clock } from '@jacinthlug/control/time/Clock';
import type { Result } from 'neverthrow';
import { ageOf, readTimestamp, type Timestamp } from '../time/Timestamp.js';
import type { StoreContact } from './StoreContact.js';
import type { RecordChange, RecordStore, StoreFailure, StoredRecord } from './RecordStore.js';

/** Delay after the first failed call, doubled with each consecutive one. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 50;

/** Maximum delay after a failed call. It is short compared with the age limits of the configuration. Unit: ms. */
const MAX_RETRY_DELAY_MS = 400;

/** Receives the content and the changes of a table. */
export interface TableListener {
  /**
   * Replaces the known table, at the start and when the store no longer retains the changes since the last read.
   *
   * @param records - all records of the table
   * @param revision - revision of the store after which changes follow
   */
  replace(records: readonly StoredRecord[], revision: number): void;

  /**
   * Applies changes in order. Changes may be applied again, one by one, after an error.
   *
   * @param changes - at least one change
   */
  apply(changes: readonly RecordChange[]): void;
}

/** Options of {@link TableFollower}. */
export interface FollowOptions {
  readonly table: string;
  /** Timeout of each long poll in the store. Unit: ms. */
  readonly holdMs: number;
  /** Minimum time between two reads, for tables whose changes may be batched. Unit: ms. */
  readonly intervalMs: number;
}

/** Dependencies of {@link TableFollower}. */
export interface TableFollowerDependencies {
  readonly store: RecordStore;
  readonly journal: Journal;
  /** Told of responses and failed calls. */
  readonly contact?: StoreContact;
  readonly clock?: Clock;
  /** Reads both clocks of the process. Tests replace it. */
  readonly readTimestamp?: () => Timestamp;
}

const getRevision = (change: RecordChange): number =>
  change.kind === 'written' ? change.record.revision : change.revision;

/** Keeps a listener up to date with the content of a table. */
export class TableFollower {
  /** Revision up to which the listener has received all changes. */
  revision = 0;

  /** Resolves when the listener has received the table for the first time. */
  readonly whenLoaded: Promise<void>;

  private resolveLoaded!: () => void;

  /** When the latest successful read was sent. The listener's state was current at that time. */
  private confirmedAt: Timestamp | undefined;

  /** When a call to the store last succeeded after failed ones. */
  private recoveredAt: Timestamp | undefined;

  private consecutiveFailures = 0;

  private running = true;

  constructor(
    private readonly options: FollowOptions,
    private readonly listener: TableListener,
    private readonly dependencies: TableFollowerDependencies,
  ) {
    this.whenLoaded = new Promise((resolve) => {
      this.resolveLoaded = resolve;
    });
  }

  /**
   * Returns the time since the listener's state was last confirmed as current.
   *
   * @returns age; infinite while the table is not loaded. Unit: ms
   */
  get age(): number {
    return ageOf(this.confirmedAt, this.now());
  }

  /**
   * Returns the time since the store recovered from failed calls.
   *
   * @returns age; 0 while calls fail, infinite if none has failed. Unit: ms
   */
  get timeSinceRecovery(): number {
    return this.consecutiveFailures > 0 ? 0 : ageOf(this.recoveredAt, this.now());
  }

  /** Stops following after the call that is in progress. */
  stop(): void {
    this.running = false;
  }

  /** Follows the table until {@link stop} is called. */
  async run(): Promise<void> {
    const clock = this.dependencies.clock ?? systemClock;
    while (this.running) {
      const sentAt = this.now();
      // After a failure, polls without a wait: a long poll would delay the detection of the store's recovery.
      const holdMs = this.consecutiveFailures > 0 ? 0 : this.options.holdMs;
      const failure = await this.readNext(sentAt, holdMs);
      if (!failure) {
        this.recordSuccess();
        await this.waitForInterval(sentAt, clock);
      } else if (failure.kind === 'history-lost') {
        this.recordHistoryLoss();
      } else {
        this.recordFailure(failure);
        const delayMs = Math.min(
          MAX_RETRY_DELAY_MS,
          INITIAL_RETRY_DELAY_MS * 2 ** (this.consecutiveFailures - 1),
        );
        await clock.sleep(delayMs * (0.5 + Math.random()));
      }
    }
  }

  /**
   * Reads the changes up to now, without waiting for the long poll in progress, whose response may be late or lost.
   *
   * @returns whether the listener has received all changes that were made before this call
   */
  async catchUp(): Promise<boolean> {
    const sentAt = this.now();
    const failure = await this.readNext(sentAt, 0);
    if (failure?.kind !== 'history-lost') return !failure;
    this.recordHistoryLoss();
    return !(await this.readNext(sentAt, 0));
  }

  private now(): Timestamp {
    return (this.dependencies.readTimestamp ?? readTimestamp)();
  }

  private async waitForInterval(sentAt: Timestamp, clock: Clock): Promise<void> {
    const remainingMs = this.options.intervalMs - ageOf(sentAt, this.now());
    if (remainingMs > 0) await clock.sleep(remainingMs);
  }

  private async readNext(sentAt: Timestamp, holdMs: number): Promise<StoreFailure | undefined> {
    try {
      return await (this.confirmedAt ? this.pollChanges(sentAt, holdMs) : this.loadTable(sentAt));
    } catch (error) {
      return { kind: 'unknown', message: String(error) };
    }
  }

  private recordContact(
    result: Result<unknown, StoreFailure>,
    sentAt: Timestamp,
    holdMs: number,
  ): void {
    const { contact } = this.dependencies;
    const now = this.now().monotonic;
    if (result.isOk() || result.error.kind === 'history-lost') contact?.recordResponse(now);
    else contact?.recordFailure(sentAt.monotonic, holdMs, now);
  }

  private async loadTable(sentAt: Timestamp): Promise<StoreFailure | undefined> {
    const before = this.revision;
    const page = await this.dependencies.store.readTable(this.options.table);
    this.recordContact(page, sentAt, 0);
    if (page.isErr()) return page.error;
    // Another call has read a later state meanwhile.
    if (this.revision > before && this.revision >= page.value.revision) return undefined;
    this.revision = page.value.revision;
    // Set before the listener is called, as code that waits for the table checks the age right away.
    this.confirm(sentAt);
    this.replaceAll(page.value.records, page.value.revision);
    this.resolveLoaded();
    return undefined;
  }

  private async pollChanges(sentAt: Timestamp, holdMs: number): Promise<StoreFailure | undefined> {
    const after = this.revision;
    const page = await this.dependencies.store.follow(this.options.table, after, holdMs);
    this.recordContact(page, sentAt, holdMs);
    if (page.isErr()) return page.error;
    // Another call may have read some of the changes meanwhile. Applied again, they would undo later ones.
    const changes =
      this.revision === after
        ? page.value.changes
        : page.value.changes.filter((change) => getRevision(change) > this.revision);
    this.revision = Math.max(this.revision, page.value.revision);
    this.confirm(sentAt);
    if (changes.length > 0) this.applyAll(changes);
    return undefined;
  }

  private confirm(sentAt: Timestamp): void {
    if (!this.confirmedAt || sentAt.monotonic > this.confirmedAt.monotonic)
      this.confirmedAt = sentAt;
  }

  /** Passes the table on. If the listener fails on one record, it still receives the others. */
  private replaceAll(records: readonly StoredRecord[], revision: number): void {
    try {
      this.listener.replace(records, revision);
    } catch (error) {
      this.recordFault(error);
      this.applyAll(records.map((record) => ({ kind: 'written', record })));
    }
  }

  /**
   * Passes changes on. If the listener fails on one change, it receives each change separately: an error must neither
   * end the following nor withhold the other changes.
   */
  private applyAll(changes: readonly RecordChange[]): void {
    try {
      this.listener.apply(changes);
    } catch (error) {
      if (changes.length > 1) changes.forEach((change) => this.applyAll([change]));
      else this.recordFault(error);
    }
  }

  private recordFault(error: unknown): void {
    const { table } = this.options;
    this.dependencies.journal.record('unhandled-fault', { table, cause: String(error) });
  }

  /** Makes the next call read the whole table. */
  private recordHistoryLoss(): void {
    this.confirmedAt = undefined;
    const { table } = this.options;
    this.dependencies.journal.record('history-lost', { table, revision: this.revision });
  }

  private recordSuccess(): void {
    if (this.consecutiveFailures === 0) return;
    this.consecutiveFailures = 0;
    this.recoveredAt = this.now();
    this.dependencies.journal.record('store-regained', { table: this.options.table });
  }

  private recordFailure(failure: StoreFailure): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures > 1) return;
    this.dependencies.journal.record('store-lost', {
      table: this.options.table,
      kind: failure.kind,
      ...('message' in failure && { cause: failure.message }),
      provenMsAgo: Math.round(this.age),
    });
  }
}
