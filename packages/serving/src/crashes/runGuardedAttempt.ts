/** Sends a request to one target, and tells the guard against crashing content how the target has taken it. */
import { runAttempt, type AttemptOptions, type AttemptOutcome } from '../online/runAttempt.js';
import type { CrashGuard } from './CrashGuard.js';

/** Options of a guarded attempt. */
export interface GuardedAttemptOptions extends Omit<AttemptOptions, 'onUnderWay'> {
  readonly crashGuard: Pick<CrashGuard, 'recordServed' | 'recordFailure'>;
  /** Content keys of the request. */
  readonly contentKeys: readonly string[];
}

/**
 * Sends a request to one target.
 *
 * @param options - target, request, its content and limits
 * @returns the outcome; never rejects
 */
export const runGuardedAttempt = async (
  options: GuardedAttemptOptions,
): Promise<AttemptOutcome> => {
  const { crashGuard, contentKeys, target } = options;
  const sentAt = performance.now();
  const outcome = await runAttempt({
    ...options,
    onUnderWay: () => crashGuard.recordServed(target.service, contentKeys),
  });
  if (outcome.kind === 'broken' && outcome.connectionLost && !outcome.wasUnderWay)
    crashGuard.recordFailure({ target: target.id, service: target.service, contentKeys, sentAt });
  return outcome;
};
