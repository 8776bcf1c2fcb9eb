/**
 * Timing of the rate shares (design 5.2). Each of these times is needed to keep the total of all shares
 * within rate x time + burst.
 */

/** Validity of a share, measured from the time at which its request was sent. Unit: ms. */
export const SHARE_VALIDITY_MS = 10_000;

/**
 * Validity of a share for a single request: a few round trips between failure domains. The home cannot
 * refill the token during this time, which slows accounts whose burst is near 1. Unit: ms.
 */
export const SINGLE_SHARE_VALIDITY_MS = 150;

/** Time between renewals of a share. Unit: ms. */
export const SHARE_RENEWAL_INTERVAL_MS = 2000;

/** Timeout for a share request; a later response is dropped. Unit: ms. */
export const SHARE_RESPONSE_TIMEOUT_MS = 1000;

/** Time between renewals of a home lease. Unit: ms. */
export const LEASE_RENEWAL_INTERVAL_MS = 1000;

/** Time for which a home may grant shares after it sent its last successful renewal. Unit: ms. */
export const LEASE_VALIDITY_MS = 3000;

/** Time for which a candidate must see a lease unchanged before it takes the lease over. Unit: ms. */
export const LEASE_TAKEOVER_DELAY_MS = 4000;

/**
 * Time within which every process that reaches the table or a peer detects the end of an outage:
 * responses of peers count for 3 s, and peers read the table again within 2 s. Unit: ms.
 */
const OUTAGE_DETECTION_MS = 5000;

/**
 * Time for which a candidate must have read the table without a failure before it takes a lease over,
 * so that no earlier home still grants shares in mode `outage`. Unit: ms.
 */
export const TAKEOVER_MIN_READABLE_MS = OUTAGE_DETECTION_MS + 3000;

/**
 * Time for which a holder keeps a share after it last observed the outage: long enough to register with
 * a home that is elected after {@link TAKEOVER_MIN_READABLE_MS}. Unit: ms.
 */
export const SHARE_OUTAGE_EXTENSION_MS = 14_000;

/** Time after an outage during which a home lets no share expire. Unit: ms. */
export const NO_EXPIRY_AFTER_OUTAGE_MS = OUTAGE_DETECTION_MS + SHARE_OUTAGE_EXTENSION_MS + 1000;

/**
 * Time after a takeover during which shares of the previous home may be valid: they are valid for 10 s, or
 * were extended in an outage that ended at least {@link TAKEOVER_MIN_READABLE_MS} before the takeover.
 * Unit: ms.
 */
export const NO_EXPIRY_AFTER_TAKEOVER_MS = NO_EXPIRY_AFTER_OUTAGE_MS - TAKEOVER_MIN_READABLE_MS;

/** A portion of an account's rate and burst. */
export interface Allocation {
  /** Unit: requests a second. */
  readonly rate: number;
  /** Unit: requests. */
  readonly capacity: number;
}

/** The empty portion. */
export const noAllocation: Allocation = { rate: 0, capacity: 0 };
