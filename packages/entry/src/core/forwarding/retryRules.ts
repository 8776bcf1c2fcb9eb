/** What follows from a failed attempt. */
import type { ResultName, RunState } from '@jacinthlug/catalog/resultCodes';
import type { AgentRefusal, Attempt } from './Attempt.js';

/** What follows from one kind of failed attempt. */
export interface RetryRule {
  /** Attempts at other targets that may follow a failure of this kind. */
  readonly retries: number;
  /** Result code for the caller when no other target takes the request. */
  readonly code: ResultName;
  /** Whether the agent counts as unreachable. */
  readonly opensCircuit?: boolean;
  /** Whether the agent counts as leaving until its next report. */
  readonly leaving?: boolean;
}

/** Attempts at other targets after failures that say nothing about the request itself. */
const SEVERAL = 2;

const ruleOfFailure: Readonly<Record<'not-sent' | 'cut' | 'mismatched' | 'oversized', RetryRule>> =
  {
    'not-sent': { retries: SEVERAL, code: 'no-target', opensCircuit: true },
    cut: { retries: SEVERAL, code: 'target-failed' },
    mismatched: { retries: SEVERAL, code: 'target-failed' },
    oversized: { retries: 0, code: 'target-failed' },
  };

/** Refusals by an agent that are not listed are passed on to the caller. */
const ruleOfRefusal: Readonly<Partial<Record<ResultName, Omit<RetryRule, 'code'>>>> = {
  overloaded: { retries: 1 },
  'target-leaving': { retries: SEVERAL, leaving: true },
  stopping: { retries: SEVERAL, leaving: true },
  'no-target': { retries: SEVERAL },
  'configuration-unconfirmed': { retries: SEVERAL },
  'target-failed': { retries: SEVERAL },
  // The one retry runs alone in its target; a second crash confirms the request as the cause.
  'target-crashed': { retries: 1 },
};

const ruleOfAbandoned: Readonly<Record<'deadline' | 'caller-gone' | 'agent-silent', RetryRule>> = {
  deadline: { retries: 0, code: 'deadline-passed' },
  'caller-gone': { retries: 0, code: 'target-failed' },
  'agent-silent': { retries: SEVERAL, code: 'target-failed' },
};

/** An attempt without an answer. */
export type Failure = Exclude<Attempt, { kind: 'whole' | 'stream' }>;

type Handlers = {
  readonly [Kind in Failure['kind']]: (failure: Extract<Failure, { kind: Kind }>) => RetryRule;
};

const handlers: Handlers = {
  'not-sent': ({ kind }) => ruleOfFailure[kind],
  cut: ({ kind }) => ruleOfFailure[kind],
  mismatched: ({ kind }) => ruleOfFailure[kind],
  oversized: ({ kind }) => ruleOfFailure[kind],
  refused: ({ code }: AgentRefusal) => ({ retries: 0, ...ruleOfRefusal[code], code }),
  abandoned: ({ cause, sent }) => {
    if (cause.kind === 'not-allowed') return { retries: 0, code: cause.code };
    if (cause.kind === 'deadline' && !sent) {
      return { retries: 0, code: 'deadline-passed-in-queue' };
    }
    return ruleOfAbandoned[cause.kind];
  },
};

/**
 * Finds the rule for a failed attempt.
 *
 * @param failure - the attempt
 * @returns its rule
 */
export const ruleOf = (failure: Failure): RetryRule =>
  (handlers[failure.kind] as (failure: Failure) => RetryRule)(failure);

/**
 * Tells whether the target may have run the request.
 *
 * @param failure - the attempt
 * @returns `not run` only when that is proven
 */
export const runStateOf = (failure: Failure): RunState => {
  if (failure.kind === 'refused') return failure.run;
  if (failure.kind === 'not-sent') return 'not run';
  if (failure.kind === 'abandoned' && !failure.sent) return 'not run';
  return 'outcome unknown';
};
