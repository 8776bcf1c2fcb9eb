/** Checks the input stream of a job and computes the byte ranges of its chunks. */
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type { ZodError } from 'zod';
import type { ChunkRange } from '../manifest.js';
import { itemLine, type BatchEndpoint, type ItemLine } from './item.js';
import { splitLines, type Line } from './splitLines.js';

/** Maximum number of items in a chunk, the unit of claims and commits. */
export const ITEMS_PER_CHUNK = 100;

/** Maximum number of items in a job. */
export const MAX_ITEMS = 53_000;

/** Maximum number of reported errors; reading stops there. */
export const MAX_INPUT_ERRORS = 100;

/** Maximum length of a line. Unit: bytes. */
export const MAX_LINE_BYTES = 1_048_576;

/** Lines checked before yielding to the event loop, so that other requests are not delayed. */
const LINES_PER_YIELD = 64;

/** An error in the input. */
export interface InputError {
  /** Line number, from 1; 0 for an error of the input as a whole. */
  readonly line: number;
  readonly message: string;
}

/** Rules that the input must satisfy besides the format. */
export interface InputRules {
  readonly endpoint: BatchEndpoint;
  /** Checks whether a service of the fleet serves a model. */
  readonly servesModel: (model: string) => boolean;
  /** Checks whether a text contains a caller's key, which no target may see. */
  readonly containsKey: (text: string) => boolean;
}

/** Valid input. */
export interface CheckedInput {
  /** The model of all items. */
  readonly model: string;
  readonly items: number;
  readonly chunks: readonly ChunkRange[];
  /** Size of the input. Unit: bytes. */
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
 * @returns the item, or a description of the error
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
 * Checks whether a line is blank. Blank lines are skipped.
 *
 * @param bytes - content of the line
 * @returns whether the line is empty or contains only white space
 */
export const isBlank = (bytes: Uint8Array): boolean =>
  bytes.every((byte) => byte === 0x20 || byte === 0x09 || byte === 0x0d);

/** Accumulates items, chunks and errors while the lines are read. */
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
    const messages = line.bytes
      ? this.checkLine(line.number, line.bytes)
      : [`longer than ${MAX_LINE_BYTES} bytes`];
    if (messages.length > 0) {
      this.errors.push({ line: line.number, message: messages.join('; ') });
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
      // Serialized again, since escapes in the original line can hide a key.
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
 * Checks every line of a job's input. Errors are malformed lines, duplicate ids, other URLs than the
 * endpoint, missing, unknown or mixed models, keys in the content, and empty input.
 *
 * @param stream - the input
 * @param rules - rules that the items must satisfy
 * @returns chunk ranges and model, or the first {@link MAX_INPUT_ERRORS} errors
 */
export const checkInput = async (
  stream: AsyncIterable<Uint8Array>,
  rules: InputRules,
): Promise<Result<CheckedInput, InputError[]>> => {
  const checker = new InputChecker(rules);
  let bytes = 0;
  const countBytes = async function* countBytes() {
    for await (const piece of stream) {
      bytes += piece.byteLength;
      yield piece;
    }
  };
  for await (const line of splitLines(countBytes(), MAX_LINE_BYTES)) {
    if (line.number % LINES_PER_YIELD === 0) await yieldToEventLoop();
    checker.add(line);
    if (checker.errors.length >= MAX_INPUT_ERRORS) break;
    if (checker.items > MAX_ITEMS) {
      checker.errors.push({ line: line.number, message: `more than ${MAX_ITEMS} items` });
      break;
    }
  }
  if (checker.errors.length > 0) return err(checker.errors);
  if (checker.model === undefined) return err([{ line: 0, message: 'the file has no items' }]);
  return ok({ model: checker.model, items: checker.items, chunks: checker.chunks, bytes });
};
