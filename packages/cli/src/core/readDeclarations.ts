/** Reads the folder of declarations given to a command. */
import { resultCodes } from '@jacinthlug/catalog/resultCodes';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import type { Declarations } from '@jacinthlug/settings/tree/declarations';
import { readDeclarationFolder } from '@jacinthlug/settings/tree/readDeclarationFolder';
import { CommandFailure } from './CommandFailure.js';
import { exitCodes } from './exitCodes.js';

/**
 * Reads and checks a folder of declarations.
 *
 * @param folder - path of the folder
 * @returns the declaration tree
 * @throws CommandFailure that lists every mistake with its file and line
 */
export const readDeclarations = async (folder: string): Promise<Declarations> => {
  const result = await readDeclarationFolder(folder);
  if (result.isOk()) return result.value;
  const code = 'configuration-invalid';
  const { number, message, hint } = resultCodes[code];
  const facts = { mistakes: formatMistakes(result.error).split('\n') };
  throw new CommandFailure({ code, number, message, hint, facts }, exitCodes.invalid);
};
