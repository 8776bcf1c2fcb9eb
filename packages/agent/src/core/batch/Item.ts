/** One item of a claimed chunk. */
import { isBlank, parseItem } from '@jacinthlug/batch/input/checkInput';
import type { ItemLine } from '@jacinthlug/batch/input/item';

/** One item of a claimed chunk. */
export interface Item {
  /** Position in the chunk, from 0. */
  readonly index: number;
  readonly line: ItemLine;
  /** Runs that ended with a transient failure. */
  attempts: number;
  /** Crashes of the target while it had the item. */
  crashes: number;
}

/**
 * Parses the input of a chunk.
 *
 * @param input - lines of the chunk
 * @returns its items, in order
 * @throws Error when a line is malformed, which acceptance of the job rules out
 */
export const parseChunk = (input: Buffer): Item[] =>
  input
    .toString('utf8')
    .split('\n')
    .map((text) => Buffer.from(text))
    .filter((bytes) => !isBlank(bytes))
    .map((bytes, index) => {
      const parsed = parseItem(bytes);
      if (parsed.isErr()) throw new Error(`item ${index} of an accepted job: ${parsed.error}`);
      return { index, line: parsed.value, attempts: 0, crashes: 0 };
    });
