/** Parses and checks experiment files. */
import { deployments } from '@jacinthlug/demo/launch/deployments';
import { checkDocument, parseJsonc, type Mistake } from '@jacinthlug/settings/file/parseJsonc';
import { err, ok, type Result } from 'neverthrow';
import { experiment, type Experiment } from './experiment.js';

/** A place in an experiment file that names an account. */
interface AccountReference {
  readonly path: readonly PropertyKey[];
  readonly account: string;
}

const listAccountReferences = ({ accounts, batch, variants }: Experiment): AccountReference[] => [
  ...Object.keys(accounts).map((account) => ({ path: ['accounts', account], account })),
  ...batch.map(({ account }, index) => ({ path: ['batch', index, 'account'], account })),
  ...Object.entries(variants).flatMap(([variant, overrides]) =>
    Object.keys(overrides.accounts).map((account) => ({
      path: ['variants', variant, 'accounts', account],
      account,
    })),
  ),
];

/**
 * Parses and checks the text of an experiment file.
 *
 * @param text - JSON with comments
 * @param file - file name for the reported mistakes
 * @returns the experiment, or all mistakes with path and line
 */
export const readExperiment = (text: string, file: string): Result<Experiment, Mistake[]> =>
  parseJsonc(text, file).andThen((document) =>
    checkDocument(document, experiment).andThen((value) => {
      const known: readonly string[] = deployments[value.deployment].accounts;
      const mistakes = listAccountReferences(value)
        .filter(({ account }) => !known.includes(account))
        .map(({ path, account }) => ({
          file,
          line: document.lineOf(path),
          path: path.map(String).join('.'),
          message: `no account "${account}" in ${value.deployment}`,
        }));
      return mistakes.length > 0 ? err(mistakes) : ok(value);
    }),
  );
