/** What becomes of one attempt to have a request run by an agent. */
import type { ResultName, RunState } from '@jacinthlug/catalog/resultCodes';

/** How a stream of events ended. */
export type StreamEnding = 'complete' | 'cut';

/** A whole answer of a target. */
export interface CompleteResponse {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** A stream whose first event has come. */
export interface StreamedResponse {
  readonly kind: 'stream';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Gives whole events, and at the end tells whether the final event came. */
  readonly events: AsyncGenerator<Buffer, StreamEnding>;
  readonly firstEvents: Buffer;
}

/** A crash of a target as the agent tells of it. */
export interface Crash {
  /** Names the crash; equal in all answers that tell of it. */
  readonly id: string;
  readonly target: string;
  /** Requests that were in the target. */
  readonly fingerprints: readonly string[];
}

/** A refusal by the agent. */
export interface AgentRefusal {
  readonly kind: 'refused';
  readonly code: ResultName;
  readonly run: RunState;
  readonly retryAfterSeconds?: number;
  /** Present with `target-crashed`. */
  readonly crash?: Crash;
}

/** An attempt that got neither an answer nor a refusal. */
export interface FailedAttempt {
  readonly kind:
    /** No connection; the agent provably did not get the request. */
    | 'not-sent'
    /** The answer was cut, or never began. */
    | 'cut'
    /** The answer belongs to another request. */
    | 'mismatched'
    /** The answer is larger than what is buffered. */
    | 'oversized';
  readonly message: string;
}

/** An attempt that this host gave up. */
export interface AbandonedAttempt {
  readonly kind: 'abandoned';
  readonly reason: AbortReason;
  /** Whether the agent may have got the request. */
  readonly sent: boolean;
}

/** Why this host gives up a request. */
export type AbortReason =
  | { readonly kind: 'deadline' }
  | { readonly kind: 'caller-gone' }
  /** The agent is silent; its host may be lost. */
  | { readonly kind: 'agent-silent' }
  /** The key is no longer granted, or the configuration is not confirmed. */
  | { readonly kind: 'not-allowed'; readonly code: ResultName };

/** What becomes of one attempt. */
export type AttemptOutcome =
  CompleteResponse | StreamedResponse | AgentRefusal | FailedAttempt | AbandonedAttempt;

/** Carries an abandon cause as the reason of an aborted signal. */
export class Abandoned extends Error {
  constructor(readonly abortReason: AbortReason) {
    super(abortReason.kind);
    this.name = 'Abandoned';
  }
}
