/** JSON with comments, parsed so that each mistake can be told with its path and line. */
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** One mistake in a file of settings or declarations. */
export interface Mistake {
  /** File name as given. */
  readonly file: string;
  /** Line in the file, from 1. */
  readonly line: number;
  /** Dotted path of the value at fault; empty for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** A parsed document that still knows its lines. */
export interface JsoncDocument {
  readonly file: string;
  readonly value: unknown;
  /**
   * Finds the line of a value.
   *
   * @param path - property names and indexes from the root of the document
   * @returns the line, from 1; that of the nearest ancestor present when the value is absent
   */
  lineOf(path: readonly PropertyKey[]): number;
}

const getLineNumber = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;

const findNearestNode = (root: Node, path: readonly PropertyKey[]): Node => {
  const segments = path.map((part) => (typeof part === 'number' ? part : String(part)));
  for (let { length } = segments; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, segments.slice(0, length));
    if (node) return node.parent?.type === 'property' ? node.parent : node;
  }
  return root;
};

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param text - content of the file
 * @param file - name to be told in mistakes
 * @returns the document, or every syntax error
 */
export const parseJsonc = (text: string, file: string): Result<JsoncDocument, Mistake[]> => {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !root) {
    const mistakes = errors.map((error) => ({
      file,
      line: getLineNumber(text, error.offset),
      path: '',
      message: `syntax: ${printParseErrorCode(error.error)}`,
    }));
    return err(mistakes.length > 0 ? mistakes : [{ file, line: 1, path: '', message: 'empty' }]);
  }
  return ok({
    file,
    value: getNodeValue(root) as unknown,
    lineOf: (path) => getLineNumber(text, findNearestNode(root, path).offset),
  });
};

/**
 * Checks a document against a schema.
 *
 * @param document - parsed document
 * @param schema - zod schema
 * @returns the typed value, or each mistake with its path and line
 */
export const checkDocument = <Schema extends z.ZodType>(
  document: JsoncDocument,
  schema: Schema,
): Result<z.output<Schema>, Mistake[]> => {
  const parsed = schema.safeParse(document.value);
  if (parsed.success) return ok(parsed.data);
  return err(
    parsed.error.issues.map((issue) => {
      const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : [];
      const path = [...issue.path, ...unknownKeys.slice(0, 1)];
      return {
        file: document.file,
        line: document.lineOf(path),
        path: path.map(String).join('.'),
        message: issue.message,
      };
    }),
  );
};

/**
 * Formats mistakes for people.
 *
 * @param mistakes - what was found
 * @returns one line for each mistake
 */
export const formatMistakes = (mistakes: readonly Mistake[]): string =>
  mistakes
    .map(({ file, line, path, message }) => `${file}:${line}: ${path ? `${path}: ` : ''}${message}`)
    .join('\n');
