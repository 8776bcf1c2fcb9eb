/** Outcome of one attempt to run a request at an agent. */
import type { ResultName, RunState } from '@jacinthlug/catalog/resultCodes';

/** Whether a stream ended with its final event (`complete`) or without it (`cut`). */
export type StreamEnding = 'complete' | 'cut';

/** A response of a target that was received completely. */
export interface CompleteResponse {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** A streamed response of which at least the first event was received. */
export interface StreamedResponse {
  readonly kind: 'stream';
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Yields complete events; returns whether the final event was received. */
  readonly events: AsyncGenerator<Buffer, StreamEnding>;
  readonly firstEvents: Buffer;
}

/** A crash of a target, as reported by its agent. */
export interface Crash {
  /** Identifier of the crash; the same in all responses that report it. */
  readonly id: string;
  readonly target: string;
  /** Fingerprints of the requests that were running in the target. */
  readonly fingerprints: readonly string[];
}

/** A refusal by an agent. */
export interface AgentRefusal {
  readonly kind: 'refused';
  readonly code: ResultName;
  readonly run: RunState;
  readonly retryAfterSeconds?: number;
  /** Present with `target-crashed`. */
  readonly crash?: Crash;
}

/** An attempt that ended with neither a valid response nor a refusal. */
export interface FailedAttempt {
  readonly kind:
    /** The connection failed before any byte of the request was sent. */
    | 'not-sent'
    /** The response was truncated or never started. */
    | 'cut'
    /** The response belongs to another request. */
    | 'mismatched'
    /** The response exceeds the buffer limit. */
    | 'oversized';
  readonly message: string;
}

/** An attempt that this host aborted. */
export interface AbandonedAttempt {
  readonly kind: 'abandoned';
  readonly reason: AbortReason;
  /** Whether the agent may have received the request. */
  readonly sent: boolean;
}

/** Reason for which this host aborts a request. */
export type AbortReason =
  | { readonly kind: 'deadline' }
  | { readonly kind: 'caller-gone' }
  /** The agent is unresponsive; its host may have failed. */
  | { readonly kind: 'agent-silent' }
  /** The request is no longer allowed: its key was withdrawn or the configuration is unconfirmed, for example. */
  | { readonly kind: 'not-allowed'; readonly code: ResultName };

/** Outcome of one attempt. */
export type AttemptOutcome =
  CompleteResponse | StreamedResponse | AgentRefusal | FailedAttempt | AbandonedAttempt;

/** Reason of an abort signal that aborts a request. */
export class Abandoned extends Error {
  constructor(readonly abortReason: AbortReason) {
    super(abortReason.kind);
    this.name = 'Abandoned';
  }
}
