/** Proof of freshness without synchronised clocks (design 5.1). */

/** Longest age of a proof with which a process serves. Unit: ms. */
export const MAX_PROOF_AGE_MS = 3000;

/** What an answer tells about the age of its version. */
export interface ProofClaim {
  /** How long the answer was held. Unit: ms. */
  readonly heldMs: number;
  /** Age of the proof at the moment of answering; null without proof. Unit: ms. */
  readonly ageMs: number | null;
}

/**
 * Computes when the version of an answer was known to be current, on the clock of the asker. The
 * result is never later than the truth, as the answer was given at least `heldMs` after the call.
 *
 * @param calledAt - monotonic time at which the asker sent its call. Unit: ms
 * @param claim - what the answer tells
 * @returns monotonic time of the proof; nothing without proof
 */
export const computeProofTime = (calledAt: number, claim: ProofClaim): number | undefined =>
  claim.ageMs === null
    ? undefined
    : calledAt + Math.max(0, claim.heldMs) - Math.max(0, claim.ageMs);

/**
 * Tells whether a proof still counts.
 *
 * @param provenAt - monotonic time of the proof, if there is one
 * @param now - monotonic time
 * @returns whether it is at most {@link MAX_PROOF_AGE_MS} old
 */
export const isFresh = (provenAt: number | undefined, now: number): boolean =>
  provenAt !== undefined && now - provenAt <= MAX_PROOF_AGE_MS;
