/** What follows from a failed attempt. */
import type { ResultName, RunState } from '@jacinthlug/catalog/resultCodes';
import type { AgentRefusal, AttemptOutcome } from './AttemptOutcome.js';

/** What follows from one kind of failed attempt. */
export interface RetryRule {
  /** Attempts at other targets that may follow a failure of this kind. */
  readonly retries: number;
  /** Result code for the caller when no other target takes the request. */
  readonly code: ResultName;
  /** Whether the agent counts as unreachable. */
  readonly opensCircuit?: boolean;
  /** Whether the agent counts as leaving until its next report. */
  readonly marksDraining?: boolean;
}

/** Attempts at other targets after failures that say nothing about the request itself. */
const DEFAULT_RETRIES = 2;

const failureRules: Readonly<Record<'not-sent' | 'cut' | 'mismatched' | 'oversized', RetryRule>> = {
  'not-sent': { retries: DEFAULT_RETRIES, code: 'no-target', opensCircuit: true },
  cut: { retries: DEFAULT_RETRIES, code: 'target-failed' },
  mismatched: { retries: DEFAULT_RETRIES, code: 'target-failed' },
  oversized: { retries: 0, code: 'target-failed' },
};

/** Refusals by an agent that are not listed are passed on to the caller. */
const refusalRules: Readonly<Partial<Record<ResultName, Omit<RetryRule, 'code'>>>> = {
  overloaded: { retries: 1 },
  'target-leaving': { retries: DEFAULT_RETRIES, marksDraining: true },
  stopping: { retries: DEFAULT_RETRIES, marksDraining: true },
  'no-target': { retries: DEFAULT_RETRIES },
  'configuration-unconfirmed': { retries: DEFAULT_RETRIES },
  'target-failed': { retries: DEFAULT_RETRIES },
  // The one retry runs alone in its target; a second crash confirms the request as the cause.
  'target-crashed': { retries: 1 },
};

const abandonedRules: Readonly<Record<'deadline' | 'caller-gone' | 'agent-silent', RetryRule>> = {
  deadline: { retries: 0, code: 'deadline-passed' },
  'caller-gone': { retries: 0, code: 'target-failed' },
  'agent-silent': { retries: DEFAULT_RETRIES, code: 'target-failed' },
};

/** An attempt without an answer. */
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
 * Finds the rule for a failed attempt.
 *
 * @param failure - the attempt
 * @returns its rule
 */
export const getRetryRule = (failure: AttemptFailure): RetryRule =>
  (handlers[failure.kind] as (failure: AttemptFailure) => RetryRule)(failure);

/**
 * Tells whether the target may have run the request.
 *
 * @param failure - the attempt
 * @returns `not run` only when that is proven
 */
export const getRunState = (failure: AttemptFailure): RunState => {
  if (failure.kind === 'refused') return failure.run;
  if (failure.kind === 'not-sent') return 'not run';
  if (failure.kind === 'abandoned' && !failure.sent) return 'not run';
  return 'outcome unknown';
};
