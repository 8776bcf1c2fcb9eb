/** Access to the target for work of the agent itself, below online requests in priority. */
import type { Result } from 'neverthrow';

/** A request to the target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A whole answer of the target. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Why there is no whole answer. */
export type TargetFailure =
  /** The target provably did not get the request. */
  | { readonly kind: 'not-sent'; readonly message: string }
  /** The connections of the target dropped while it had the request. */
  | { readonly kind: 'crashed'; readonly message: string }
  /** The signal was aborted. */
  | { readonly kind: 'cancelled' }
  /** The answer was cut, belongs to another request, or took too long. */
  | { readonly kind: 'failed'; readonly message: string };

/** Permission to have one batch request in the target. */
export interface BatchSlot {
  /** Aborted when online work takes the place; the request must be cancelled at once. */
  readonly preempted: AbortSignal;
  release(): void;
}

/** Access to the target below online requests. */
export interface TargetAccess {
  /**
   * Waits until a batch request may enter the target.
   *
   * @param signal - ends the waiting
   * @returns the slot; nothing when the signal was aborted
   */
  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined>;

  /**
   * Waits until the target is empty and keeps all else out until the slot is released.
   *
   * @param signal - ends the waiting
   * @returns the slot; nothing when the signal was aborted
   */
  acquireExclusiveSlot(signal: AbortSignal): Promise<BatchSlot | undefined>;

  /**
   * Runs a request in the target.
   *
   * @param request - what to send
   * @param signal - cancels the request at the target
   * @returns the whole answer, or why there is none
   */
  run(request: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, TargetFailure>>;

  /**
   * Tells whether batch work is welcome: the target serves and has capacity beyond online work.
   *
   * @returns whether to look for chunks
   */
  hasSpareCapacity(): boolean;

  /**
   * Gives the models that the target serves now.
   *
   * @returns model names
   */
  models(): readonly string[];
}
