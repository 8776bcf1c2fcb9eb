/** Converts failures of the batch stores to refusals. */
import type { AcceptFailure } from '@jacinthlug/batch/JobStore';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';

type Handlers = {
  readonly [Kind in AcceptFailure['kind']]: (
    failure: Extract<AcceptFailure, { kind: Kind }>,
  ) => Refusal;
};

const handlers: Handlers = {
  'not-found': () => refuse('not-found'),
  unavailable: ({ message }) => refuse('platform-unavailable', { detail: message }),
  unknown: ({ message }) =>
    refuse('platform-unavailable', { detail: message, run: 'outcome unknown' }),
  malformed: ({ message }) => refuse('internal-fault', { detail: message }),
  invalid: ({ errors }) =>
    refuse('batch-invalid', {
      detail: errors.map(({ line, message }) => `line ${line}: ${message}`).join('\n'),
      facts: { lines: errors },
    }),
  'identity-reused': () => refuse('identity-reused'),
};

/**
 * Converts a failure of the batch stores to a refusal.
 *
 * @param failure - failure of a store
 * @returns the refusal for the caller
 */
export const toRefusal = (failure: AcceptFailure): Refusal => {
  const handle = handlers[failure.kind] as (failure: AcceptFailure) => Refusal;
  return handle(failure);
};
