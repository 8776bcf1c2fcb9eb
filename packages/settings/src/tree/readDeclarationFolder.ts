/** Reads a folder of declarations. Each file `<path>.jsonc` holds the node at that path. */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { checkDocument, parseJsonc, type JsoncDocument, type Mistake } from '../file/parseJsonc.js';
import { checkStructure } from './checkStructure.js';
import { declaration, declarations, type Declaration, type Declarations } from './declarations.js';

const FILE_EXTENSION = '.jsonc';
const ROOT_FILE = 'root';

interface NodeFile {
  readonly path: string;
  readonly document: JsoncDocument;
  readonly node: Declaration;
}

const toNodePath = (file: string): string => {
  const path = file.slice(0, -FILE_EXTENSION.length).split('\\').join('/');
  return path === ROOT_FILE ? '' : path;
};

const readNode = async (folder: string, file: string): Promise<Result<NodeFile, Mistake[]>> => {
  const text = await readFile(join(folder, file), 'utf8');
  return parseJsonc(text, file).andThen((document) =>
    checkDocument(document, declaration).map((node) => ({
      path: toNodePath(file),
      document,
      node,
    })),
  );
};

const checkTree = (files: readonly NodeFile[]): Result<Declarations, Mistake[]> => {
  const nodes = Object.fromEntries(files.map(({ path, node }) => [path, node]));
  const tree = declarations.safeParse({ nodes });
  if (!tree.success) {
    return err(
      tree.error.issues.map(({ path, message }) => {
        const nodePath = String(path[1] ?? '');
        return { file: `${nodePath || ROOT_FILE}${FILE_EXTENSION}`, line: 1, path: '', message };
      }),
    );
  }
  const mistakes = checkStructure(tree.data).map(({ path, message }) => ({
    file: `${path || ROOT_FILE}${FILE_EXTENSION}`,
    line: 1,
    path: '',
    message,
  }));
  return mistakes.length > 0 ? err(mistakes) : ok(tree.data);
};

/**
 * Reads and checks a folder of declarations.
 *
 * @param folder - path of the folder
 * @returns the tree, or all mistakes
 */
export const readDeclarationFolder = async (
  folder: string,
): Promise<Result<Declarations, Mistake[]>> => {
  const names = await ResultAsync.fromPromise(
    readdir(folder, { recursive: true }),
    (error): Mistake[] => [
      { file: folder, line: 1, path: '', message: `cannot be read: ${(error as Error).message}` },
    ],
  );
  if (names.isErr()) return err(names.error);
  const files = names.value.filter((name) => name.endsWith(FILE_EXTENSION)).sort();
  const results = await Promise.all(files.map((file) => readNode(folder, file)));
  const mistakes = results.flatMap((result) => (result.isErr() ? result.error : []));
  if (mistakes.length > 0) return err(mistakes);
  return checkTree(results.flatMap((result) => (result.isOk() ? [result.value] : [])));
};
