/** Faults that a test sets on a stand-in of a target. */
import * as z from 'zod';

/** Schema of `POST /_standin/faults`. The body replaces all faults; an absent one is off. */
export const targetFaults = z.strictObject({
  /** Time before each request is looked at. Unit: ms. */
  delayMs: z.number().nonnegative().default(0),
  /** Destroys the connection of each request without running it. */
  down: z.boolean().default(false),
  /** How many of the next runs end in a destroyed connection without an answer. */
  loseAnswers: z.int().nonnegative().default(0),
  /** Tokens after which streams are cut; for a service, bytes of the body. */
  cutAfterTokens: z.int().nonnegative().optional(),
  /** Ends streams cleanly but without their final event. */
  omitFinalEvent: z.boolean().default(false),
  /** How many of the next answers carry the id of another request. */
  crossAnswers: z.int().nonnegative().default(0),
  /** Answers each run with status 503 without running it. */
  refuse: z.boolean().default(false),
});

/** Faults in force. */
export type TargetFaults = z.infer<typeof targetFaults>;
