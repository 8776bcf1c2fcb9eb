/** Faults that a target stand-in can inject. */
import * as z from 'zod';

/** Schema of the body of `POST /_standin/faults`. It replaces all faults; absent ones are off. */
export const targetFaults = z.strictObject({
  /** Delay before each request is handled. Unit: ms. */
  delayMs: z.number().nonnegative().default(0),
  /** Whether the connection of each request is destroyed and the request is not run. */
  down: z.boolean().default(false),
  /** Number of next runs whose connection is destroyed without a response. */
  loseAnswers: z.int().nonnegative().default(0),
  /** Number of tokens, or of body characters for a service, after which the connection is destroyed. */
  cutAfterTokens: z.int().nonnegative().optional(),
  /** Whether streams end without their final event, on an intact connection. */
  omitFinalEvent: z.boolean().default(false),
  /** Number of next responses that carry the id of another request. */
  crossAnswers: z.int().nonnegative().default(0),
  /** Whether each request to run is refused with status 503 and not run. */
  refuse: z.boolean().default(false),
});

/** Active faults. */
export type TargetFaults = z.infer<typeof targetFaults>;
