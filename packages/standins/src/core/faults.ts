/** Faults that a platform stand-in can inject. */
import * as z from 'zod';

const faults = z.strictObject({
  /** Delay before a request is handled, even if its caller has disconnected. Unit: ms. */
  delayMs: z.number().nonnegative(),
  /** Whether each request is discarded without effect and its connection is destroyed. */
  down: z.boolean(),
  /** Number of next writes that take effect but whose connection is destroyed without a response. */
  loseAnswers: z.int().nonnegative(),
  /** Number of next reads whose connection is destroyed after half of the response body. */
  cutAnswers: z.int().nonnegative(),
  /**
   * Refuses requests without effect: `true` for the throttling error of the service, a number for
   * that HTTP status, or `contention` for a transaction conflict (table only).
   */
  refuse: z.union([z.boolean(), z.int().min(400).max(599), z.literal('contention')]),
  /** Delay until a change of the host list becomes visible. Unit: ms. */
  lagMs: z.number().nonnegative(),
});

/** Active faults. */
export type Faults = z.infer<typeof faults>;

/** How requests are refused. */
export type RefusalMode = Exclude<Faults['refuse'], false>;

/** Schema of the body of `POST /_standin/faults`; absent fields keep their values. */
export const faultUpdate = faults.partial();

/** Initial state: no fault is active. */
export const noFaults: Faults = {
  delayMs: 0,
  down: false,
  loseAnswers: 0,
  cutAnswers: 0,
  refuse: false,
  lagMs: 0,
};
