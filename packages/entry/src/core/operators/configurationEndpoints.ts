/** Operator endpoints for the configuration and its versions. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { readHistory } from '@jacinthlug/control/follower/configurationRows';
import { checkStructure } from '@jacinthlug/settings/tree/checkStructure';
import { declarations, type Declarations } from '@jacinthlug/settings/tree/declarations';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { Endpoint, OperatorHandler } from '../http/Exchange.js';
import { readJsonBody, sendJson } from './json.js';
import type { OperatorDependencies } from './OperatorDependencies.js';

/** Author recorded with edits. There is a single operator credential, so operators cannot be told apart. */
export const OPERATOR_AUTHOR = 'operator';

/** Maximum number of versions in the history. */
const MAX_LISTED_VERSIONS = 50;

const editBody = z.strictObject({
  baseVersion: z.int().nonnegative(),
  declarations,
  token: z.string().min(1).max(200),
  note: z.string().max(1000).optional(),
});

const checkDeclarations = (tree: Declarations): Result<void, Refusal> => {
  const mistakes = checkStructure(tree);
  const [first] = mistakes;
  if (!first) return ok(undefined);
  const detail = `${first.path}: ${first.message}`;
  return err(refuse('configuration-invalid', { detail, facts: { mistakes } }));
};

const showConfiguration =
  ({ follower }: OperatorDependencies): OperatorHandler =>
  (exchange) =>
    Promise.resolve(
      follower.inForce().andThen(({ configuration }) => sendJson(exchange, configuration)),
    );

const editConfiguration =
  ({ editor }: OperatorDependencies): OperatorHandler =>
  async (exchange) => {
    const body = await readJsonBody(exchange, editBody, 'configuration-invalid');
    if (body.isErr()) return err(body.error);
    const { baseVersion, declarations: tree, token, note } = body.value;
    const checked = checkDeclarations(tree);
    if (checked.isErr()) return err(checked.error);
    const base = await editor.read(baseVersion);
    if (base.isErr()) {
      const isUnknown = base.error.code === 'not-found';
      return err(isUnknown ? refuse('configuration-conflict') : base.error);
    }
    const version = await editor.commit({
      baseVersion,
      content: { ...base.value.content, declarations: tree },
      author: OPERATOR_AUTHOR,
      token: `edit ${token}`,
      ...(note === undefined ? {} : { note }),
    });
    return version.andThen((accepted) => sendJson(exchange, { version: accepted }));
  };

const showHistory =
  ({ table }: OperatorDependencies): OperatorHandler =>
  async (exchange) => {
    const records = await readHistory(table, MAX_LISTED_VERSIONS);
    if (records.isErr()) {
      return err(refuse('platform-unavailable', { detail: records.error.message }));
    }
    const versions = records.value.map(({ version, acceptedAt, author, note }) => ({
      version,
      acceptedAt,
      author,
      note,
    }));
    return sendJson(exchange, { versions });
  };

/**
 * Creates the operator endpoints for the configuration.
 *
 * @param dependencies - editor, follower and table
 * @returns the endpoints
 */
export const createConfigurationEndpoints = (
  dependencies: OperatorDependencies,
): Endpoint<OperatorHandler>[] => [
  {
    method: 'GET',
    path: '/operator/v1/configuration/history',
    handle: showHistory(dependencies),
  },
  { method: 'GET', path: '/operator/v1/configuration', handle: showConfiguration(dependencies) },
  { method: 'POST', path: '/operator/v1/configuration', handle: editConfiguration(dependencies) },
];
