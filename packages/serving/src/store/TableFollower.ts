/** Follows the changes of a table by held reads, one loop for each table. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock, type Clock } from '@jacinthlug/control/time/Clock';
import { ageOf, readTimestamp, type Timestamp } from '../time/Timestamp.js';
import type { RecordChange, RecordStore, StoreFailure, StoredRecord } from './RecordStore.js';

/** First pause after a failed call, doubled with each further one. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 50;

/** Longest pause after a failed call: short against the bounds on configuration. Unit: ms. */
const MAX_RETRY_DELAY_MS = 400;

/** What a follower tells about its table. */
export interface TableListener {
  /**
   * Takes the whole table, at the start and after lost history.
   *
   * @param records - every record
   * @param revision - revision of the store from which changes follow
   */
  replace(records: readonly StoredRecord[], revision: number): void;

  /**
   * Takes changes in their order.
   *
   * @param changes - at least one change
   */
  apply(changes: readonly RecordChange[]): void;
}

/** How a table is followed. */
export interface FollowOptions {
  readonly table: string;
  /** How long one read may be held. Unit: ms. */
  readonly holdMs: number;
  /** Least time between two reads, for tables whose changes may be taken together. Unit: ms. */
  readonly intervalMs: number;
}

/** What a follower needs. */
export interface TableFollowerDependencies {
  readonly store: RecordStore;
  readonly journal: Journal;
  readonly clock?: Clock;
  /** Reads both clocks of the process; replaced in tests. */
  readonly readTimestamp?: () => Timestamp;
}

/** Keeps a listener up to date with one table. */
export class TableFollower {
  /** Revision up to which the listener knows every change. */
  revision = 0;

  /** Settled when the listener has the table for the first time. */
  readonly whenLoaded: Promise<void>;

  private resolveLoaded!: () => void;

  /** When the last answered read was sent: what the listener knows was in force then. */
  private confirmedAt: Timestamp | undefined;

  /** When the store last came back after failed calls. */
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
   * Tells how old the proof is that the listener's state is current.
   *
   * @returns age. Unit: ms
   */
  get age(): number {
    return ageOf(this.confirmedAt, this.now());
  }

  /**
   * Tells how long ago the store came back after failed calls.
   *
   * @returns age; infinite when it never failed. Unit: ms
   */
  get timeSinceRecovery(): number {
    return this.consecutiveFailures > 0 ? 0 : ageOf(this.recoveredAt, this.now());
  }

  /** Ends the loop with the call that is in flight. */
  stop(): void {
    this.running = false;
  }

  /** Follows the table until it is stopped. */
  async run(): Promise<void> {
    const clock = this.dependencies.clock ?? systemClock;
    while (this.running) {
      const sentAt = this.now();
      const failure = this.confirmedAt
        ? await this.pollChanges(sentAt)
        : await this.loadTable(sentAt);
      if (!failure) {
        this.recordSuccess();
        await this.waitForInterval(sentAt, clock);
      } else if (failure.kind === 'history-lost') {
        this.confirmedAt = undefined;
        this.dependencies.journal.record('history-lost', {
          table: this.options.table,
          revision: this.revision,
        });
      } else {
        this.recordFailure(failure);
        const pauseMs = Math.min(
          MAX_RETRY_DELAY_MS,
          INITIAL_RETRY_DELAY_MS * 2 ** (this.consecutiveFailures - 1),
        );
        await clock.sleep(pauseMs * (0.5 + Math.random()));
      }
    }
  }

  private now(): Timestamp {
    return (this.dependencies.readTimestamp ?? readTimestamp)();
  }

  private async waitForInterval(sentAt: Timestamp, clock: Clock): Promise<void> {
    const restMs = this.options.intervalMs - ageOf(sentAt, this.now());
    if (restMs > 0) await clock.sleep(restMs);
  }

  private async loadTable(sentAt: Timestamp): Promise<StoreFailure | undefined> {
    const page = await this.dependencies.store.readTable(this.options.table);
    if (page.isErr()) return page.error;
    this.revision = page.value.revision;
    // Set first: whoever waits for the table acts on it as soon as the listener has it.
    this.confirmedAt = sentAt;
    this.listener.replace(page.value.records, page.value.revision);
    this.resolveLoaded();
    return undefined;
  }

  private async pollChanges(sentAt: Timestamp): Promise<StoreFailure | undefined> {
    const { table, holdMs } = this.options;
    // A store that has not answered is asked in short calls: one that is held would hide its return.
    const page = await this.dependencies.store.follow(
      table,
      this.revision,
      this.consecutiveFailures > 0 ? 0 : holdMs,
    );
    if (page.isErr()) return page.error;
    this.revision = Math.max(this.revision, page.value.revision);
    this.confirmedAt = sentAt;
    if (page.value.changes.length > 0) this.listener.apply(page.value.changes);
    return undefined;
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
