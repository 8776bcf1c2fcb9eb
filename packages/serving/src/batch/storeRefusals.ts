/** Refusals of calls about batch jobs that the store has not confirmed. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';

/** Retry delay of callers while the store is unavailable to this host. Unit: seconds. */
const STORE_RETRY_SECONDS = 0.5;

/**
 * Refuses a call that has changed nothing.
 *
 * @returns the refusal
 */
export const refuseUnavailable = (): Refusal =>
  refuse('platform-unavailable', { retryAfterSeconds: STORE_RETRY_SECONDS });

/**
 * Refuses a call whose write was not confirmed.
 *
 * @param isOutcomeUnknown - whether a write may have been applied, or may be yet
 * @returns the refusal
 */
export const refuseUnconfirmed = (isOutcomeUnknown: boolean): Refusal =>
  isOutcomeUnknown ? refuse('deadline-passed') : refuseUnavailable();
