/** Decides when an online request gets a target, and when it is refused because there is no room for it. */
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Account } from '../configuration/ServingConfiguration.js';
import type { Target } from '../fleet/Target.js';
import type { CandidateCounts, TargetChoice } from '../routing/chooseTarget.js';

/** A request that needs a target. */
export interface PlacementRequest {
  readonly service: string;
  /** Undefined on open routes. */
  readonly account: Account | undefined;
  /** Priority of the route; 0 is the most urgent. */
  readonly routePriority: number;
  /** Whether no target has had the request, and it continues no stream. */
  readonly isNew: boolean;
  /** Monotonic time at which the response must continue, or begin to meet the objective of the route. Unit: ms. */
  readonly responseDeadline: number;
  /** Monotonic time until which the caller waits, retries included. Unit: ms. */
  readonly callerDeadline: number;
  /** Aborted when the request needs no target any more. */
  readonly signal: AbortSignal;
  /** Chooses a target by the present load. */
  readonly chooseTarget: () => TargetChoice;
}

/** Target of a request, or why it has none. */
export type Placement =
  | { readonly kind: 'target'; readonly target: Target }
  | {
      readonly kind: 'full';
      readonly counts?: CandidateCounts;
      /** Refusal for a request that has not run; undefined for the usual one. */
      readonly refusal?: Refusal;
    }
  | { readonly kind: 'none' | 'forbidden'; readonly counts: CandidateCounts }
  /** The request was aborted while it waited. */
  | { readonly kind: 'aborted' };

/** A new request that is described but not placed. */
export interface DescribedPlacement extends Pick<
  PlacementRequest,
  'service' | 'account' | 'routePriority' | 'responseDeadline'
> {
  /** Wait until a target has room, if the router predicts it. Unit: ms. */
  readonly expectedWaitMs: number | undefined;
}

/** What an admission would do with a new request. */
export interface AdmissionState {
  readonly policy: 'immediate' | 'queue';
  /** Requests of the service that wait at this host and would get a target before the new one. */
  readonly ahead: number;
  /** Ratio of the account's use to its fair share; 1 if the account is within its share. */
  readonly shareRatio: number;
  /** Whether the account gets only free slots, as it is above its share while room is short. */
  readonly onlyFreeSlots: boolean;
  /** Whether the request would wait if it found no room. */
  readonly wouldWait: boolean;
  /** Predicted time until there is room for it; absent if it is not known. Unit: ms. */
  readonly predictedWaitMs?: number;
}

/** Admits online requests to targets. */
export interface Admission {
  /**
   * Describes what would happen to a new request, without placing it.
   *
   * @param request - the request
   * @returns state of the admission
   */
  describe(request: DescribedPlacement): AdmissionState;

  /**
   * Finds a target for a request, or refuses it.
   *
   * @param request - the request
   * @returns the placement; a promise if the request waits
   */
  place(request: PlacementRequest): Placement | Promise<Placement>;

  /** Tries the waiting requests again, because there may be room by now. */
  retryWaiting(): void;
}
