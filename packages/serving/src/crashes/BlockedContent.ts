/** Content that is not sent to targets for a while, kept in the store so that a restart of all hosts doesn't lose it. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import * as z from 'zod';
import { parseJson } from '../store/parseJson.js';
import type { RecordChange, RecordStore, StoredRecord } from '../store/RecordStore.js';
import type { TableListener } from '../store/TableFollower.js';

/** Table with one row for each content that crashes targets. */
export const BLOCKED_CONTENT_TABLE = 'blocked';

/** Duration of the first block, doubled each time the content crashes a target again. Unit: ms. */
const FIRST_BLOCK_MS = 120_000;

/** Maximum duration of a block. Unit: ms. */
const MAX_BLOCK_MS = 3_600_000;

/** How long content counts as known to crash targets after its block has ended. Unit: ms. */
const PROBATION_MS = 3_600_000;

/** Maximum number of rows that are written or removed at once; a transaction holds at most 100. */
const MAX_ROWS_PER_WRITE = 50;

const blockRow = z.object({
  /** Store time. Unit: ms. */
  blockedUntil: z.number(),
  /** Number of blocks so far. */
  count: z.int().positive(),
});

type BlockRow = z.infer<typeof blockRow>;

/** A block of content. */
export interface Block {
  /** Monotonic time. Unit: ms. */
  readonly until: number;
  /** Number of blocks so far, including this one. */
  readonly count: number;
  /** Monotonic time at which this host blocked the content or learned of the block. Unit: ms. */
  readonly since: number;
  /** Whether this host writes the block to the store. */
  readonly isOwn: boolean;
}

/** A block that was found, with its content key. */
export interface FoundBlock extends Block {
  readonly key: string;
}

/** Dependencies of {@link BlockedContent}. */
export interface BlockedContentDependencies {
  readonly store: RecordStore;
  readonly journal: Pick<Journal, 'record'>;
}

const toRecordKey = (key: string) => ({ table: BLOCKED_CONTENT_TABLE, partition: '', key });

/** Tracks blocked content. */
export class BlockedContent implements TableListener {
  private readonly blocks = new Map<string, Block>();

  /** Content whose row this host still has to write or remove. */
  private readonly unsaved = new Set<string>();

  constructor(private readonly dependencies: BlockedContentDependencies) {}

  replace(records: readonly StoredRecord[], _revision?: number, now = performance.now()): void {
    [...this.blocks.keys()]
      .filter((key) => !this.unsaved.has(key))
      .forEach((key) => this.blocks.delete(key));
    records.forEach((record) => this.applyRecord(record, now));
  }

  apply(changes: readonly RecordChange[], now = performance.now()): void {
    changes.forEach((change) => {
      if (change.kind === 'written') this.applyRecord(change.record, now);
      else this.blocks.delete(change.key.key);
    });
  }

  /**
   * Finds a block of a request's content.
   *
   * @param contentKeys - content keys of the request
   * @param now - monotonic time. Unit: ms
   * @returns the block of the first key that is blocked; undefined if none is blocked
   */
  find(contentKeys: readonly string[], now: number): FoundBlock | undefined {
    if (this.blocks.size === 0) return undefined;
    const key = contentKeys.find((each) => this.isBlocked(each, now));
    return key === undefined ? undefined : { key, ...this.blocks.get(key)! };
  }

  /**
   * Checks whether content is blocked.
   *
   * @param key - content key
   * @param now - monotonic time. Unit: ms
   * @returns whether it is not sent to targets
   */
  isBlocked(key: string, now: number): boolean {
    return (this.blocks.get(key)?.until ?? Number.NEGATIVE_INFINITY) > now;
  }

  /**
   * Checks whether content was blocked recently.
   *
   * @param key - content key
   * @param now - monotonic time. Unit: ms
   * @returns whether it is blocked, or on probation after a block
   */
  wasBlocked(key: string, now: number): boolean {
    const block = this.blocks.get(key);
    return block !== undefined && now - block.until < PROBATION_MS;
  }

  /**
   * Blocks content.
   *
   * @param key - content key
   * @param now - monotonic time. Unit: ms
   * @param mustSave - whether this host writes the block to the store
   * @returns the block
   */
  block(key: string, now: number, mustSave: boolean): Block {
    const count = (this.wasBlocked(key, now) ? this.blocks.get(key)!.count : 0) + 1;
    const durationMs = Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * 2 ** (count - 1));
    const block = { until: now + durationMs, count, since: now, isOwn: mustSave };
    this.blocks.set(key, block);
    if (mustSave) this.unsaved.add(key);
    return block;
  }

  /**
   * Ends the block and the probation of content that was served after it.
   *
   * @param key - content key
   * @param servedAt - monotonic time. Unit: ms
   * @param isOwn - whether this host served it, and removes the row of the block
   * @returns whether it was blocked or on probation
   */
  clear(key: string, servedAt: number, isOwn: boolean): boolean {
    const block = this.blocks.get(key);
    if (!block || servedAt <= block.since) return false;
    this.blocks.delete(key);
    if (isOwn || block.isOwn) this.unsaved.add(key);
    return true;
  }

  /**
   * Writes the blocks of this host to the store, and removes the rows of those that were cleared or have expired.
   *
   * @param now - monotonic time. Unit: ms
   */
  async save(now = performance.now()): Promise<void> {
    const { store, journal } = this.dependencies;
    const storeNow = store.now();
    if (this.unsaved.size === 0 || storeNow === undefined) return;
    const keys = [...this.unsaved].slice(0, MAX_ROWS_PER_WRITE);
    const expired = [...this.blocks.entries()]
      .filter(([key, { until }]) => now - until >= PROBATION_MS && !keys.includes(key))
      .slice(0, MAX_ROWS_PER_WRITE - keys.length)
      .map(([key]) => key);
    const written = keys.filter((key) => this.blocks.has(key));
    const removed = [...keys.filter((key) => !this.blocks.has(key)), ...expired];
    keys.forEach((key) => this.unsaved.delete(key));
    const saved = await store.commit({
      conditions: [],
      writes: written.map((key) => ({
        ...toRecordKey(key),
        value: Buffer.from(JSON.stringify(this.toRow(key, storeNow - now))),
      })),
      removals: removed.map(toRecordKey),
    });
    if (saved.isErr()) {
      keys.forEach((key) => this.unsaved.add(key));
      journal.record('block-unsaved', { content: keys, kind: saved.error.kind });
      return;
    }
    expired.forEach((key) => this.blocks.delete(key));
  }

  private toRow(key: string, storeOffsetMs: number): BlockRow {
    const { until, count } = this.blocks.get(key)!;
    return { blockedUntil: Math.round(until + storeOffsetMs), count };
  }

  private applyRecord({ key, value }: StoredRecord, now: number): void {
    const row = blockRow.safeParse(parseJson(value)).data;
    const storeNow = this.dependencies.store.now();
    if (!row || storeNow === undefined) {
      this.dependencies.journal.record('record-unreadable', { table: BLOCKED_CONTENT_TABLE, key });
      return;
    }
    const known = this.blocks.get(key);
    const since = known && known.count >= row.count ? known.since : now;
    const until = now + row.blockedUntil - storeNow;
    this.blocks.set(key, { until, count: row.count, since, isOwn: known?.isOwn ?? false });
  }
}
