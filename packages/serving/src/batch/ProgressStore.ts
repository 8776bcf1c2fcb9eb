/** The output of unfinished items in the store, so that a host that takes a job over goes on where it was. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { ok, type Result } from 'neverthrow';
import { parseJson } from '../store/parseJson.js';
import type { RecordStore, StoreFailure } from '../store/RecordStore.js';
import { parseProgressIndex, PROGRESS_TABLE, progressKey, progressRange } from './jobKeys.js';
import { itemOutput, type ItemOutput, type JobRecord } from './JobRecord.js';

/** Outputs of one transaction, which holds at most 1 MB. */
const MAX_OUTPUTS_PER_TRANSACTION = 16;

/**
 * Largest output that is kept. Rows hold 65,536 bytes, which is 49,152 before base64. A longer output goes on
 * from the last one that was kept. Unit: bytes.
 */
const MAX_ROW_BYTES = 49_000;

/** What the progress store needs. */
export interface ProgressStoreDependencies {
  readonly store: RecordStore;
  readonly journal: Journal;
}

/** Keeps the output of unfinished items. */
export class ProgressStore {
  constructor(private readonly dependencies: ProgressStoreDependencies) {}

  /**
   * Keeps outputs in place of earlier ones. No condition fences the write: whoever wrote it, the output is the
   * beginning of the item's output.
   *
   * @param record - the job
   * @param outputs - output of each item by its index
   * @returns indexes of the items whose output is kept; a failure when the store did not settle it
   */
  async save(
    record: JobRecord,
    outputs: readonly (readonly [number, ItemOutput])[],
  ): Promise<Result<number[], StoreFailure>> {
    const writes = outputs
      .map(([index, output]) => ({
        index,
        ...progressKey(record.account, record.id, index),
        value: Buffer.from(JSON.stringify(output)),
      }))
      .filter(({ value }) => value.length <= MAX_ROW_BYTES)
      .slice(0, MAX_OUTPUTS_PER_TRANSACTION);
    if (writes.length === 0) return ok([]);
    const written = await this.dependencies.store.commit({ conditions: [], writes });
    return written.map(() => writes.map(({ index }) => index));
  }

  /**
   * Loads the outputs of a job's items.
   *
   * @param record - the job
   * @returns output of each item that has one, by its index
   */
  async load(record: JobRecord): Promise<Result<Map<number, ItemOutput>, StoreFailure>> {
    const page = await this.dependencies.store.read(progressRange(record.account, record.id));
    return page.map(({ records }) => {
      const outputs = new Map<number, ItemOutput>();
      records.forEach(({ key, value }) => {
        const output = itemOutput.safeParse(parseJson(value)).data;
        if (output) outputs.set(parseProgressIndex(key), output);
        // The item runs from its start, as if nothing had been kept.
        else this.dependencies.journal.record('record-unreadable', { table: PROGRESS_TABLE, key });
      });
      return outputs;
    });
  }
}
