/** One item of a claimed chunk. */
import { isBlank, parseItem } from '@jacinthlug/batch/input/checkInput';
import type { ItemLine } from '@jacinthlug/batch/input/item';

/** One item of a claimed chunk. */
export interface Item {
  /** Position in the chunk, from 0. */
  readonly index: number;
  readonly line: ItemLine;
  /** Number of attempts that ended with a transient failure. */
  attempts: number;
  /** Number of crashes of the target while it ran the item. */
  crashes: number;
}

/**
 * Parses the input of a chunk.
 *
 * @param input - input lines of the chunk
 * @returns the items, in the order of the lines
 * @throws Error when a line is malformed; jobs with such lines are not accepted
 */
export const parseChunk = (input: Buffer): Item[] =>
  input
    .toString('utf8')
    .split('\n')
    .map((text) => Buffer.from(text))
    .filter((bytes) => !isBlank(bytes))
    .map((bytes, index) => {
      const parsed = parseItem(bytes);
      if (parsed.isErr())
        throw new Error(`item ${index} of an accepted job is malformed: ${parsed.error}`);
      return { index, line: parsed.value, attempts: 0, crashes: 0 };
    });
