/** Stores the output of unfinished items, so that a host that takes a job over continues after it. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { ok, type Result } from 'neverthrow';
import { parseJson } from '../store/parseJson.js';
import type { RecordStore, StoreFailure } from '../store/RecordStore.js';
import type { VersionedJob } from './JobCache.js';
import { PROGRESS_TABLE, progressKey, progressRange, selectJobRows } from './jobKeys.js';
import { savedOutput, type ItemOutput, type SavedOutput } from './JobRecord.js';

/** Maximum outputs in a transaction, which holds at most 1 MB. */
const MAX_OUTPUTS_PER_TRANSACTION = 16;

/**
 * Maximum output that is saved. A row holds 65,536 bytes, which is 49,152 before base64. An item with a longer
 * output resumes from the last one that was saved. Unit: bytes.
 */
const MAX_ROW_BYTES = 49_000;

/** Dependencies of {@link ProgressStore}. */
export interface ProgressStoreDependencies {
  readonly store: RecordStore;
  readonly journal: Journal;
}

export class ProgressStore {
  constructor(private readonly dependencies: ProgressStoreDependencies) {}

  /**
   * Saves outputs and replaces earlier ones. The write needs no fencing: whichever host wrote it, the output is a
   * prefix of the item's complete output.
   *
   * @param job - the job
   * @param outputs - output of each item by its index
   * @returns indexes of the items whose output was saved; a failure if the store did not confirm the write
   */
  async save(
    job: VersionedJob,
    outputs: readonly (readonly [number, ItemOutput])[],
  ): Promise<Result<number[], StoreFailure>> {
    const { input } = job.record;
    const writes = outputs
      .map(([index, output]) => {
        const saved: SavedOutput = { ...output, input };
        const value = Buffer.from(JSON.stringify(saved));
        return { index, ...progressKey(job.key, index), value };
      })
      .filter(({ value }) => value.length <= MAX_ROW_BYTES)
      .slice(0, MAX_OUTPUTS_PER_TRANSACTION);
    if (writes.length === 0) return ok([]);
    const written = await this.dependencies.store.commit({ conditions: [], writes });
    return written.map(() => writes.map(({ index }) => index));
  }

  /**
   * Loads the saved outputs of a job's items. Those of an earlier job with the same id are left out: a delayed write may have
   * restored them after that job was removed.
   *
   * @param job - the job
   * @returns output of each item that has one, by its index
   */
  async load(job: VersionedJob): Promise<Result<Map<number, ItemOutput>, StoreFailure>> {
    const page = await this.dependencies.store.read(progressRange(job.key));
    return page.map(({ records }) => {
      const outputs = new Map<number, ItemOutput>();
      selectJobRows(job.key, records).forEach(({ index, record: { key, value } }) => {
        const saved = savedOutput.safeParse(parseJson(value)).data;
        if (!saved) {
          // Without this output, the item runs from its beginning.
          this.dependencies.journal.record('record-unreadable', { table: PROGRESS_TABLE, key });
          return;
        }
        const { input, ...output } = saved;
        if (input === undefined || input === job.record.input) outputs.set(index, output);
      });
      return outputs;
    });
  }
}
