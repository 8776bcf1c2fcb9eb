/** Faults that a stand-in can be told to show. */
import * as z from 'zod';

const faults = z.strictObject({
  /** Wait before a request is handled; it is handled even when its caller has gone. Unit: ms. */
  delayMs: z.number().nonnegative(),
  /** Whether connections are destroyed as soon as a request has come, without any effect. */
  down: z.boolean(),
  /** The next writes whose effect is kept but whose connection is destroyed without an answer. */
  loseAnswers: z.int().nonnegative(),
  /** The next reads whose connection is destroyed after half of the body. */
  cutAnswers: z.int().nonnegative(),
  /**
   * Refuses requests without any effect: `true` for the service's throttling, an HTTP status, or
   * `contention` for a transaction that is cancelled because of another one (table only).
   */
  refuse: z.union([z.boolean(), z.int().min(400).max(599), z.literal('contention')]),
  /** How late a change of the host list shows. Unit: ms. */
  lagMs: z.number().nonnegative(),
});

/** Faults in force. */
export type Faults = z.infer<typeof faults>;

/** How a request is refused. */
export type RefusalMode = Exclude<Faults['refuse'], false>;

/** Schema of `POST /_standin/faults`; absent fields stay as they are. */
export const faultUpdate = faults.partial();

/** A stand-in without faults. */
export const noFaults: Faults = {
  delayMs: 0,
  down: false,
  loseAnswers: 0,
  cutAnswers: 0,
  refuse: false,
  lagMs: 0,
};
