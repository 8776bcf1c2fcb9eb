/** Access to the target for batch work, which has a lower priority than online requests. */
import type { Result } from 'neverthrow';

/** A request to the target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A complete response of the target. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Why there is no complete response. */
export type TargetFailure =
  /** The target provably did not receive the request. */
  | { readonly kind: 'not-sent'; readonly message: string }
  /** The target crashed while the request was in flight. */
  | { readonly kind: 'crashed'; readonly message: string }
  /** The signal was aborted. */
  | { readonly kind: 'cancelled' }
  /** The response was truncated, belongs to another request, or took too long. */
  | { readonly kind: 'failed'; readonly message: string };

/** Permission to run one batch request in the target. */
export interface BatchSlot {
  /** Aborted when an online request takes the slot; the request must be cancelled immediately. */
  readonly preempted: AbortSignal;
  release(): void;
}

/** Access to the target with a lower priority than online requests. */
export interface TargetAccess {
  /**
   * Waits for a slot for a batch request.
   *
   * @param signal - cancels the wait
   * @returns the slot; undefined when the signal was aborted
   */
  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined>;

  /**
   * Waits until the target is empty, and admits no other request until the slot is released.
   *
   * @param signal - cancels the wait
   * @returns the slot; undefined when the signal was aborted
   */
  acquireExclusiveSlot(signal: AbortSignal): Promise<BatchSlot | undefined>;

  /**
   * Runs a request in the target.
   *
   * @param request - what to send
   * @param signal - cancels the request at the target
   * @returns the complete response, or the failure
   */
  run(request: TargetRequest, signal: AbortSignal): Promise<Result<TargetResponse, TargetFailure>>;

  /**
   * Checks whether the target is serving and has capacity beyond online requests.
   *
   * @returns whether to search for chunks
   */
  hasSpareCapacity(): boolean;

  /**
   * Returns the models that the target serves now.
   *
   * @returns names of the models
   */
  listModels(): readonly string[];
}
