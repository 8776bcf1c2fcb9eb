/** Checks the input of a job as a stream and computes the byte ranges of its chunks. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type { ZodError } from 'zod';
import type { ChunkRange } from '../manifest.js';
import { itemLine, type BatchEndpoint, type ItemLine } from './item.js';
import { splitLines, type Line } from './splitLines.js';

/** Items of a chunk, the unit of claims and commits. */
export const ITEMS_PER_CHUNK = 100;

/** Most items of a job. */
export const MAX_ITEMS = 53_000;

/** Lines at fault that are reported; reading stops there. */
export const MAX_INPUT_ERRORS = 100;

/** Longest line. Unit: bytes. */
export const MAX_LINE_BYTES = 1_048_576;

/** Lines checked in one turn of the event loop, so that requests of others are not held up. */
const LINES_PER_YIELD = 64;

/** A line at fault. */
export interface InputError {
  /** Number of the line, from 1; 0 when the whole input is at fault. */
  readonly line: number;
  readonly message: string;
}

/** What a job's input must obey besides the format. */
export interface InputRules {
  readonly endpoint: BatchEndpoint;
  /** Tells whether a service of the fleet serves a model. */
  readonly servesModel: (model: string) => boolean;
  /** Tells whether a text contains a caller's key, which no target may see. */
  readonly containsKey: (text: string) => boolean;
}

/** Input that can run. */
export interface CheckedInput {
  /** The model of all items. */
  readonly model: string;
  readonly items: number;
  readonly chunks: readonly ChunkRange[];
  /** Size of the whole input. Unit: bytes. */
  readonly bytes: number;
}

const decoder = new TextDecoder('utf-8', { fatal: true });

const describeIssues = (error: ZodError): string =>
  error.issues
    .map(({ path, message }) => (path.length > 0 ? `${path.join('.')}: ${message}` : message))
    .join('; ');

/**
 * Parses one line of the input.
 *
 * @param bytes - content of the line
 * @returns the item, or what is wrong with it
 */
export const parseItem = (bytes: Uint8Array): Result<ItemLine, string> => {
  let value: unknown;
  try {
    value = JSON.parse(decoder.decode(bytes));
  } catch {
    return err('not JSON in UTF-8');
  }
  const parsed = itemLine.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error));
};

/**
 * Tells whether a line holds nothing; such lines are no items.
 *
 * @param bytes - content of the line
 * @returns whether it is empty or white space
 */
export const isBlank = (bytes: Uint8Array): boolean =>
  bytes.every((byte) => byte === 0x20 || byte === 0x09 || byte === 0x0d);

/** What is known about the lines read so far. */
class InputChecker {
  readonly errors: InputError[] = [];

  readonly chunks: ChunkRange[] = [];

  items = 0;

  private readonly linesById = new Map<string, number>();

  private firstItem: { readonly model: string; readonly line: number } | undefined;

  constructor(private readonly rules: InputRules) {}

  get model(): string | undefined {
    return this.firstItem?.model;
  }

  add(line: Line): void {
    if (line.bytes && isBlank(line.bytes)) return;
    const mistakes = line.bytes
      ? this.checkLine(line.number, line.bytes)
      : [`longer than ${MAX_LINE_BYTES} bytes`];
    if (mistakes.length > 0) {
      this.errors.push({ line: line.number, message: mistakes.join('; ') });
    }
    if (line.bytes) this.addToChunk(line.offset, line.bytes.length);
  }

  private checkLine(number: number, bytes: Uint8Array): string[] {
    const parsed = parseItem(bytes);
    if (parsed.isErr()) return [parsed.error];
    const item = parsed.value;
    return [
      ...this.checkId(number, item.custom_id),
      ...this.checkUrl(item.url),
      ...this.checkModel(number, item.body.model),
      // Serialised again, since escapes can hide a key in the line as written.
      ...(this.rules.containsKey(JSON.stringify(item)) ? ['contains a key'] : []),
    ];
  }

  private checkId(number: number, id: string): string[] {
    const earlier = this.linesById.get(id);
    if (earlier !== undefined) return [`custom_id: "${id}" is used on line ${earlier}`];
    this.linesById.set(id, number);
    return [];
  }

  private checkUrl(url: string): string[] {
    const { endpoint } = this.rules;
    return url === endpoint ? [] : [`url: "${url}" is not "${endpoint}"`];
  }

  private checkModel(number: number, model: string): string[] {
    this.firstItem ??= { model, line: number };
    if (model !== this.firstItem.model) {
      return [
        `body.model: "${model}" differs from "${this.firstItem.model}" on line ${this.firstItem.line}`,
      ];
    }
    return this.rules.servesModel(model) ? [] : [`body.model: no service serves "${model}"`];
  }

  private addToChunk(offset: number, length: number): void {
    const last = offset + length - 1;
    const current = this.chunks[this.chunks.length - 1];
    if (current && current.items < ITEMS_PER_CHUNK) {
      this.chunks[this.chunks.length - 1] = { ...current, last, items: current.items + 1 };
    } else {
      this.chunks.push({ first: offset, last, items: 1 });
    }
    this.items += 1;
  }
}

/**
 * Checks every line of a job's input. Duplicate ids, other urls, missing, unknown or mixed models
 * and empty input are mistakes.
 *
 * @param stream - the input
 * @param rules - what the items must obey
 * @returns chunk ranges and model, or the first {@link MAX_INPUT_ERRORS} lines at fault
 */
export const checkInput = async (
  stream: AsyncIterable<Uint8Array>,
  rules: InputRules,
): Promise<Result<CheckedInput, InputError[]>> => {
  const check = new InputChecker(rules);
  let bytes = 0;
  const counted = async function* counted() {
    for await (const piece of stream) {
      bytes += piece.byteLength;
      yield piece;
    }
  };
  for await (const line of splitLines(counted(), MAX_LINE_BYTES)) {
    if (line.number % LINES_PER_YIELD === 0) await nextTurn();
    check.add(line);
    if (check.errors.length >= MAX_INPUT_ERRORS) break;
    if (check.items > MAX_ITEMS) {
      check.errors.push({ line: line.number, message: `more than ${MAX_ITEMS} items` });
      break;
    }
  }
  if (check.errors.length > 0) return err(check.errors);
  if (check.model === undefined) return err([{ line: 0, message: 'the file has no items' }]);
  return ok({ model: check.model, items: check.items, chunks: check.chunks, bytes });
};
