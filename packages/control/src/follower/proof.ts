/** Proof of freshness without synchronised clocks (design 5.1). */

/** Maximum age of a proof with which a process serves requests. Unit: ms. */
export const MAX_PROOF_AGE_MS = 3000;

/** Age of the proof that a response contains. */
export interface ProofClaim {
  /** Time for which the response was held. Unit: ms. */
  readonly heldMs: number;
  /** Age of the proof when the response was sent; `null` without proof. Unit: ms. */
  readonly ageMs: number | null;
}

/**
 * Computes the time at which the version of a response was known to be current, on the clock of the
 * caller. The result is never later than the actual time, as the response was sent at least `heldMs`
 * after the call.
 *
 * @param calledAt - monotonic time at which the caller sent its request. Unit: ms
 * @param claim - age of the proof according to the response
 * @returns monotonic time of the proof; `undefined` without proof. Unit: ms
 */
export const computeProofTime = (calledAt: number, claim: ProofClaim): number | undefined =>
  claim.ageMs === null
    ? undefined
    : calledAt + Math.max(0, claim.heldMs) - Math.max(0, claim.ageMs);

/**
 * Checks whether a proof is still valid.
 *
 * @param provenAt - monotonic time of the proof, if there is one. Unit: ms
 * @param now - monotonic time. Unit: ms
 * @returns whether it is at most {@link MAX_PROOF_AGE_MS} old
 */
export const isFresh = (provenAt: number | undefined, now: number): boolean =>
  provenAt !== undefined && now - provenAt <= MAX_PROOF_AGE_MS;
