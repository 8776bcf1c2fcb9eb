/** Reads the settings file of a process. */
import { readFile } from 'node:fs/promises';
import { err, ResultAsync, type Result } from 'neverthrow';
import type { z } from 'zod';
import { checkDocument, parseJsonc, type Mistake } from './parseJsonc.js';

/**
 * Reads and checks a settings file.
 *
 * @param file - path of a file in JSON with comments
 * @param schema - schema of the settings of this process
 * @returns the settings, or each mistake with its path and line
 */
export const readSettings = async <Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Promise<Result<z.output<Schema>, Mistake[]>> => {
  const text = await ResultAsync.fromPromise(readFile(file, 'utf8'), (fault): Mistake[] => [
    { file, line: 1, path: '', message: `cannot be read: ${(fault as Error).message}` },
  ]);
  if (text.isErr()) return err(text.error);
  return parseJsonc(text.value, file).andThen((document) => checkDocument(document, schema));
};
