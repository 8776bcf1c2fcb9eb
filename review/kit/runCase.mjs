/** Runs a case: gives it a temporary folder and a record, and ends all that it started. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Record } from './Record.mjs';

/** What a case exits with. */
export const RESULTS = { held: 0, broken: 1, notRun: 2 };

/**
 * @typedef {object} CaseContext
 * @property {string} folder - temporary folder
 * @property {Record} record - record of the case
 * @property {boolean} hasTrouble - whether the disruption comes
 * @property {<Part extends { stop?: () => void, end?: () => Promise<void> }>(part: Part) => Part} use - ends a part of the
 *   case at its end
 */

/**
 * Runs a case and exits with its result.
 *
 * @param {string} url - URL of the script
 * @param {(context: CaseContext) => Promise<number>} play - plays the case and returns its result
 */
export const runCase = async (url, play) => {
  const own = dirname(fileURLToPath(url));
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const record = new Record(join(own, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  /** @type {{ stop?: () => void, end?: () => Promise<void> }[]} */
  const parts = [];
  let result = RESULTS.notRun;
  try {
    result = await play({
      folder,
      record,
      hasTrouble,
      use: (part) => {
        parts.push(part);
        return part;
      },
    });
  } catch (error) {
    record.add(`the case could not run: ${error}`);
  }
  await Promise.all(parts.map((part) => part.end?.()));
  parts.forEach((part) => part.stop?.());
  record.add(`exit ${result}`);
  await record.write();
  if (process.env.KEEP_FOLDER !== '1') await rm(folder, { recursive: true, force: true });
  // Connections of stand-ins may keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(result);
};
