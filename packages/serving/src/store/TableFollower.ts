/** Follows the changes of a table by held reads, one loop for each table. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock, type Clock } from '@jacinthlug/control/time/Clock';
import { ageOf, readMoment, type Moment } from '../time/Moment.js';
import type { RecordChange, RecordStore, StoreFailure, StoredRecord } from './RecordStore.js';

/** First pause after a failed call, doubled with each further one. Unit: ms. */
const FIRST_PAUSE_MS = 50;

/** Longest pause after a failed call: short against the bounds on configuration. Unit: ms. */
const LONGEST_PAUSE_MS = 400;

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
export interface FollowTerms {
  readonly table: string;
  /** How long one read may be held. Unit: ms. */
  readonly holdMs: number;
  /** Least time between two reads, for tables whose changes may be taken together. Unit: ms. */
  readonly intervalMs: number;
}

/** What a follower needs. */
export interface TableFollowerNeeds {
  readonly store: RecordStore;
  readonly journal: Journal;
  readonly clock?: Clock;
  /** Reads both clocks of the process; replaced in tests. */
  readonly readMoment?: () => Moment;
}

/** Keeps a listener up to date with one table. */
export class TableFollower {
  /** Revision up to which the listener knows every change. */
  revision = 0;

  /** Settled when the listener has the table for the first time. */
  readonly whenRead: Promise<void>;

  private settleRead!: () => void;

  /** When the last answered read was sent: what the listener knows was in force then. */
  private provenAt: Moment | undefined;

  /** When the store last came back after failed calls. */
  private returnedAt: Moment | undefined;

  private failures = 0;

  private running = true;

  constructor(
    private readonly terms: FollowTerms,
    private readonly listener: TableListener,
    private readonly needs: TableFollowerNeeds,
  ) {
    this.whenRead = new Promise((resolve) => {
      this.settleRead = resolve;
    });
  }

  /**
   * Tells how old the proof is that the listener's state is current.
   *
   * @returns age. Unit: ms
   */
  get age(): number {
    return ageOf(this.provenAt, this.now());
  }

  /**
   * Tells how long ago the store came back after failed calls.
   *
   * @returns age; infinite when it never failed. Unit: ms
   */
  get sinceReturn(): number {
    return this.failures > 0 ? 0 : ageOf(this.returnedAt, this.now());
  }

  /** Ends the loop with the call that is in flight. */
  stop(): void {
    this.running = false;
  }

  /** Follows the table until it is stopped. */
  async run(): Promise<void> {
    const clock = this.needs.clock ?? systemClock;
    while (this.running) {
      const sentAt = this.now();
      const failure = this.provenAt ? await this.followOnce(sentAt) : await this.readOnce(sentAt);
      if (!failure) {
        this.succeed();
        await this.rest(sentAt, clock);
      } else if (failure.kind === 'history-lost') {
        this.provenAt = undefined;
        this.needs.journal.record('history-lost', {
          table: this.terms.table,
          revision: this.revision,
        });
      } else {
        this.fail(failure);
        const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
        await clock.sleep(pauseMs * (0.5 + Math.random()));
      }
    }
  }

  private now(): Moment {
    return (this.needs.readMoment ?? readMoment)();
  }

  private async rest(sentAt: Moment, clock: Clock): Promise<void> {
    const restMs = this.terms.intervalMs - ageOf(sentAt, this.now());
    if (restMs > 0) await clock.sleep(restMs);
  }

  private async readOnce(sentAt: Moment): Promise<StoreFailure | undefined> {
    const page = await this.needs.store.readTable(this.terms.table);
    if (page.isErr()) return page.error;
    this.revision = page.value.revision;
    // Set first: whoever waits for the table acts on it as soon as the listener has it.
    this.provenAt = sentAt;
    this.listener.replace(page.value.records, page.value.revision);
    this.settleRead();
    return undefined;
  }

  private async followOnce(sentAt: Moment): Promise<StoreFailure | undefined> {
    const { table, holdMs } = this.terms;
    // A store that has not answered is asked in short calls: one that is held would hide its return.
    const page = await this.needs.store.follow(
      table,
      this.revision,
      this.failures > 0 ? 0 : holdMs,
    );
    if (page.isErr()) return page.error;
    this.revision = Math.max(this.revision, page.value.revision);
    this.provenAt = sentAt;
    if (page.value.changes.length > 0) this.listener.apply(page.value.changes);
    return undefined;
  }

  private succeed(): void {
    if (this.failures === 0) return;
    this.failures = 0;
    this.returnedAt = this.now();
    this.needs.journal.record('store-regained', { table: this.terms.table });
  }

  private fail(failure: StoreFailure): void {
    this.failures += 1;
    if (this.failures > 1) return;
    this.needs.journal.record('store-lost', {
      table: this.terms.table,
      kind: failure.kind,
      ...('message' in failure && { cause: failure.message }),
      provenMsAgo: Math.round(this.age),
    });
  }
}
