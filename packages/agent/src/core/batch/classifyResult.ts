/** Decides what an answer or a failure of the target means for a batch item. */
import { resultId, type ResultLine } from '@jacinthlug/batch/results/resultLine';
import type { Claim } from '@jacinthlug/batch/ChunkStore';
import type { Result } from 'neverthrow';
import type { TargetResponse, TargetFailure } from '../TargetAccess.js';
import type { Item } from './Item.js';

/** What happens to an item next. */
export type ItemOutcome =
  | { readonly kind: 'finished'; readonly line: ResultLine }
  /** Run again without counting an attempt, at once. */
  | { readonly kind: 'put-back' }
  /** Run again without counting an attempt, after a pause. */
  | { readonly kind: 'not-sent' }
  /** A transient failure; `line` is the result when it was the last attempt. */
  | { readonly kind: 'failed'; readonly line: ResultLine }
  | { readonly kind: 'crashed'; readonly line: ResultLine };

/** Statuses of a target that say nothing about the content of the request. */
const transientStatuses: ReadonlySet<number> = new Set([408, 409, 425, 429]);

const FIRST_SERVER_ERROR_STATUS = 500;
const FIRST_ERROR_STATUS = 400;

const isTransient = (status: number): boolean =>
  transientStatuses.has(status) || status >= FIRST_SERVER_ERROR_STATUS;

/** Builds the result lines of the items of a claim. */
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
 * Builds the result line of an item without an answer.
 *
 * @param claim - the chunk
 * @param item - the item
 * @param code - machine-readable reason
 * @param message - reason for people
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

const classifyResponse = (claim: Claim, item: Item, answer: TargetResponse): ItemOutcome => {
  const body = parseBody(answer.body);
  if (!body && answer.status < FIRST_ERROR_STATUS) {
    const line = createErrorLine(
      claim,
      item,
      'target-failed',
      'The answer of the target is not JSON.',
    );
    return { kind: 'failed', line };
  }
  const line = createResultLine(claim, item, {
    response: {
      status_code: answer.status,
      request_id: answer.headers['x-request-id'] ?? resultId(claim.job.id, claim.index, item.index),
      body: body ? body.value : { error: { message: answer.body } },
    },
    error: null,
  });
  return { kind: isTransient(answer.status) ? 'failed' : 'finished', line };
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
 * Decides what a run of an item means.
 *
 * @param claim - the chunk
 * @param item - the item
 * @param result - what came back from the target
 * @param interrupted - whether the run was cut by us; failures are then no attempt
 * @returns what happens to the item next
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
