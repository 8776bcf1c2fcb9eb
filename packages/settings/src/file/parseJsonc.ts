/** Parses and checks JSON with comments, and reports each mistake with its path and line. */
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

/** Mistake in a file of settings or declarations. */
export interface Mistake {
  /** File name as passed to {@link parseJsonc}. */
  readonly file: string;
  /** Line in the file, from 1. */
  readonly line: number;
  /** Dotted path of the invalid value; empty for the whole document. */
  readonly path: string;
  readonly message: string;
}

/** Parsed document with the lines of its values. */
export interface JsoncDocument {
  readonly file: string;
  readonly value: unknown;
  /**
   * Finds the line of a value.
   *
   * @param path - property names and array indexes from the root of the document
   * @returns the line, from 1; if the value is absent, the line of its nearest ancestor
   */
  lineOf(path: readonly PropertyKey[]): number;
}

const getLineNumber = (text: string, offset: number): number =>
  text.slice(0, offset).split('\n').length;

const findNearestNode = (root: Node, path: readonly PropertyKey[]): Node => {
  const segments = path.map((segment) => (typeof segment === 'number' ? segment : String(segment)));
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
 * @param file - file name for the mistakes
 * @returns the document, or all syntax errors
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
 * @returns the typed value, or all mistakes
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
 * Formats mistakes for display.
 *
 * @param mistakes - mistakes of one or more files
 * @returns one line per mistake
 */
export const formatMistakes = (mistakes: readonly Mistake[]): string =>
  mistakes
    .map(({ file, line, path, message }) => `${file}:${line}: ${path ? `${path}: ` : ''}${message}`)
    .join('\n');
