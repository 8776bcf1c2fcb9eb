/** Classifies a response or failure of the target for a batch item. */
import { resultId, type ResultLine } from '@jacinthlug/batch/results/resultLine';
import type { Claim } from '@jacinthlug/batch/ChunkStore';
import type { Result } from 'neverthrow';
import type { TargetResponse, TargetFailure } from '../TargetAccess.js';
import type { Item } from './Item.js';

/** Outcome of an attempt, which decides what happens to the item next. */
export type ItemOutcome =
  | { readonly kind: 'finished'; readonly line: ResultLine }
  /** Run again immediately, without counting an attempt. */
  | { readonly kind: 'put-back' }
  /** Run again after a delay, without counting an attempt. */
  | { readonly kind: 'not-sent' }
  /** A transient failure; `line` becomes the result if this was the last attempt. */
  | { readonly kind: 'failed'; readonly line: ResultLine }
  | { readonly kind: 'crashed'; readonly line: ResultLine };

/** Statuses below 500 that do not depend on the content of the request. */
const transientStatuses: ReadonlySet<number> = new Set([408, 409, 425, 429]);

const FIRST_SERVER_ERROR_STATUS = 500;
const FIRST_ERROR_STATUS = 400;

const isTransient = (status: number): boolean =>
  transientStatuses.has(status) || status >= FIRST_SERVER_ERROR_STATUS;

/** Builds the result line of an item. */
export const createResultLine = (
  { job, index }: Pick<Claim, 'job' | 'index'>,
  item: Item,
  outcome: Pick<ResultLine, 'response' | 'error'>,
): ResultLine => ({
  id: resultId(job.id, index, item.index),
  custom_id: item.line.custom_id,
  ...outcome,
});

/**
 * Builds the result line of an item without a response.
 *
 * @param claim - the chunk
 * @param item - the item
 * @param code - machine-readable reason
 * @param message - human-readable reason
 * @returns the line
 */
export const createErrorLine = (
  claim: Pick<Claim, 'job' | 'index'>,
  item: Item,
  code: string,
  message: string,
): ResultLine => createResultLine(claim, item, { response: null, error: { code, message } });

/**
 * Builds the result line of an item that crashes targets.
 *
 * @param claim - the chunk
 * @param item - the item
 * @returns the line
 */
export const createCrashLine = (claim: Pick<Claim, 'job' | 'index'>, item: Item): ResultLine =>
  createErrorLine(
    claim,
    item,
    'item-crashed-target',
    'The target crashed each time it ran this item.',
  );

const parseBody = (text: string): { readonly value: unknown } | undefined => {
  try {
    return { value: JSON.parse(text) };
  } catch {
    return undefined;
  }
};

const classifyResponse = (claim: Claim, item: Item, response: TargetResponse): ItemOutcome => {
  const body = parseBody(response.body);
  if (!body && response.status < FIRST_ERROR_STATUS) {
    const line = createErrorLine(
      claim,
      item,
      'target-failed',
      'The response of the target is not JSON.',
    );
    return { kind: 'failed', line };
  }
  const line = createResultLine(claim, item, {
    response: {
      status_code: response.status,
      request_id:
        response.headers['x-request-id'] ?? resultId(claim.job.id, claim.index, item.index),
      body: body ? body.value : { error: { message: response.body } },
    },
    error: null,
  });
  return { kind: isTransient(response.status) ? 'failed' : 'finished', line };
};

type FailureHandlers = {
  readonly [Kind in TargetFailure['kind']]: (
    claim: Claim,
    item: Item,
    failure: Extract<TargetFailure, { kind: Kind }>,
  ) => ItemOutcome;
};

const failureHandlers: FailureHandlers = {
  'not-sent': () => ({ kind: 'not-sent' }),
  cancelled: () => ({ kind: 'put-back' }),
  crashed: (claim, item) => ({ kind: 'crashed', line: createCrashLine(claim, item) }),
  failed: (claim, item, { message }) => ({
    kind: 'failed',
    line: createErrorLine(claim, item, 'target-failed', message),
  }),
};

/**
 * Classifies the result of an attempt.
 *
 * @param claim - the chunk
 * @param item - the item
 * @param result - response or failure of the target
 * @param interrupted - whether the agent itself cancelled the attempt; a failure other than a crash
 *   does not count as an attempt then
 * @returns the outcome
 */
export const classifyResult = (
  claim: Claim,
  item: Item,
  result: Result<TargetResponse, TargetFailure>,
  interrupted: boolean,
): ItemOutcome => {
  if (result.isOk()) return classifyResponse(claim, item, result.value);
  const { error } = result;
  if (interrupted && error.kind !== 'crashed') return { kind: 'put-back' };
  const handle = failureHandlers[error.kind] as (
    claim: Claim,
    item: Item,
    failure: TargetFailure,
  ) => ItemOutcome;
  return handle(claim, item, error);
};
