import { readFile } from 'node:fs/promises';
import { err, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import { checkDocument, parseJsonc, type Mistake } from './parseJsonc.js';

/**
 * Reads and checks the settings file of a process.
 *
 * @param file - path of a file in JSON with comments
 * @param schema - zod schema of the settings
 * @returns the settings, or all mistakes
 */
export const readSettings = async <Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Promise<Result<z.output<Schema>, Mistake[]>> => {
  const text = await ResultAsync.fromPromise(readFile(file, 'utf8'), (error): Mistake[] => [
    { file, line: 1, path: '', message: `cannot be read: ${(error as Error).message}` },
  ]);
  if (text.isErr()) return err(text.error);
  return parseJsonc(text.value, file).andThen((document) => checkDocument(document, schema));
};
