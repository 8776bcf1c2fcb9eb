/** Times of the rate shares (design 5.2). Each keeps a total from exceeding rate x time + burst. */

/** Validity of a share, from the sending of the question. Unit: ms. */
export const SHARE_VALIDITY_MS = 10_000;

/**
 * Validity of a share for one request: some round trips between failure domains. The home cannot refill
 * that token meanwhile, which slows accounts whose burst is near 1. Unit: ms.
 */
export const SINGLE_SHARE_VALIDITY_MS = 150;

/** Time between renewals of a share. Unit: ms. */
export const SHARE_RENEWAL_INTERVAL_MS = 2000;

/** Age of a question from which its answer is dropped. Unit: ms. */
export const SHARE_RESPONSE_TIMEOUT_MS = 1000;

/** Time between renewals of a home lease. Unit: ms. */
export const LEASE_RENEWAL_INTERVAL_MS = 1000;

/** Time for which a home grants after the sending of its last renewal. Unit: ms. */
export const LEASE_VALIDITY_MS = 3000;

/** Time for which a challenger must see a lease unchanged. Unit: ms. */
export const LEASE_TAKEOVER_DELAY_MS = 4000;

/**
 * Time within which every process that reaches the table or a peer notices the end of an outage:
 * evidence of peers counts for 3 s, and peers read the table again within 2 s. Unit: ms.
 */
const OUTAGE_DETECTION_MS = 5000;

/**
 * Time for which a challenger must have read the table without a failure, so that no earlier home
 * still grants in mode `outage`. Unit: ms.
 */
export const TAKEOVER_MIN_READABLE_MS = OUTAGE_DETECTION_MS + 3000;

/**
 * Time for which a holder keeps a share after it last saw the outage: long enough to register with a
 * home that is elected after {@link TAKEOVER_MIN_READABLE_MS}. Unit: ms.
 */
export const SHARE_OUTAGE_EXTENSION_MS = 14_000;

/** Time after an outage in which a home lets no share lapse. Unit: ms. */
export const NO_EXPIRY_AFTER_OUTAGE_MS = OUTAGE_DETECTION_MS + SHARE_OUTAGE_EXTENSION_MS + 1000;

/**
 * Time after a takeover in which shares of the earlier home may be in force: they are valid for 10 s,
 * or were kept in an outage that ended at least {@link TAKEOVER_MIN_READABLE_MS} before the takeover. Unit: ms.
 */
export const NO_EXPIRY_AFTER_TAKEOVER_MS = NO_EXPIRY_AFTER_OUTAGE_MS - TAKEOVER_MIN_READABLE_MS;

/** An amount of an account's rate and burst. */
export interface Allocation {
  /** Unit: requests a second. */
  readonly rate: number;
  /** Unit: requests. */
  readonly capacity: number;
}

/** Nothing of the rate and burst. */
export const noAllocation: Allocation = { rate: 0, capacity: 0 };
