/** Retry rules for failed attempts. */
import type { ResultName, RunState } from '@jacinthlug/catalog/resultCodes';
import type { AgentRefusal, AttemptOutcome } from './AttemptOutcome.js';

/** Retry rule for one kind of failure. */
export interface RetryRule {
  /** Maximum number of retries on other targets after failures of this kind. */
  readonly retries: number;
  /** Result code for the caller when the request is not retried successfully. */
  readonly code: ResultName;
  /** Whether the failure opens the circuit of the agent. */
  readonly opensCircuit?: boolean;
  /** Whether the agent counts as draining until its next load report. */
  readonly marksDraining?: boolean;
}

/** Number of retries on other targets after failures that are not caused by the request itself. */
const DEFAULT_RETRIES = 2;

const failureRules: Readonly<Record<'not-sent' | 'cut' | 'mismatched' | 'oversized', RetryRule>> = {
  'not-sent': { retries: DEFAULT_RETRIES, code: 'no-target', opensCircuit: true },
  cut: { retries: DEFAULT_RETRIES, code: 'target-failed' },
  mismatched: { retries: DEFAULT_RETRIES, code: 'target-failed' },
  oversized: { retries: 0, code: 'target-failed' },
};

/** Rules for refusals by an agent. Refusals that are not listed here are passed on to the caller. */
const refusalRules: Readonly<Partial<Record<ResultName, Omit<RetryRule, 'code'>>>> = {
  overloaded: { retries: 1 },
  'bodies-over-memory': { retries: DEFAULT_RETRIES },
  'target-leaving': { retries: DEFAULT_RETRIES, marksDraining: true },
  stopping: { retries: DEFAULT_RETRIES, marksDraining: true },
  'no-target': { retries: DEFAULT_RETRIES },
  'configuration-unconfirmed': { retries: DEFAULT_RETRIES },
  'target-failed': { retries: DEFAULT_RETRIES },
  // The retry runs alone in its target, so a second crash confirms that the request is the cause.
  'target-crashed': { retries: 1 },
};

const abandonedRules: Readonly<Record<'deadline' | 'caller-gone' | 'agent-silent', RetryRule>> = {
  deadline: { retries: 0, code: 'deadline-passed' },
  'caller-gone': { retries: 0, code: 'target-failed' },
  'agent-silent': { retries: DEFAULT_RETRIES, code: 'target-failed' },
};

/** Outcome of an attempt that ended without a usable response. */
export type AttemptFailure = Exclude<AttemptOutcome, { kind: 'whole' | 'stream' }>;

type Handlers = {
  readonly [Kind in AttemptFailure['kind']]: (
    failure: Extract<AttemptFailure, { kind: Kind }>,
  ) => RetryRule;
};

const handlers: Handlers = {
  'not-sent': ({ kind }) => failureRules[kind],
  cut: ({ kind }) => failureRules[kind],
  mismatched: ({ kind }) => failureRules[kind],
  oversized: ({ kind }) => failureRules[kind],
  refused: ({ code }: AgentRefusal) => ({ retries: 0, ...refusalRules[code], code }),
  abandoned: ({ reason: cause, sent }) => {
    if (cause.kind === 'not-allowed') return { retries: 0, code: cause.code };
    if (cause.kind === 'deadline' && !sent) {
      return { retries: 0, code: 'deadline-passed-in-queue' };
    }
    return abandonedRules[cause.kind];
  },
};

/**
 * Returns the retry rule for a failed attempt.
 *
 * @param failure - outcome of the attempt
 * @returns the rule
 */
export const getRetryRule = (failure: AttemptFailure): RetryRule =>
  (handlers[failure.kind] as (failure: AttemptFailure) => RetryRule)(failure);

/**
 * Returns whether the target may have run the request.
 *
 * @param failure - outcome of the attempt
 * @returns `not run` only if the target provably did not run it
 */
export const getRunState = (failure: AttemptFailure): RunState => {
  if (failure.kind === 'refused') return failure.run;
  if (failure.kind === 'not-sent') return 'not run';
  if (failure.kind === 'abandoned' && !failure.sent) return 'not run';
  return 'outcome unknown';
};
