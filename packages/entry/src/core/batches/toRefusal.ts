/** Turns failures of the job store into refusals. */
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
 * Turns a failure of the job store into a refusal.
 *
 * @param failure - what failed
 * @returns the refusal for the caller
 */
export const toRefusal = (failure: AcceptFailure): Refusal => {
  const handle = handlers[failure.kind] as (failure: AcceptFailure) => Refusal;
  return handle(failure);
};
