/** Estimates the work of online requests for the fair queue. */

const BYTES_PER_TOKEN = 4;

/** Output tokens assumed when the request sets no limit. */
const DEFAULT_OUTPUT_TOKENS = 256;

/** Maximum output tokens counted, so that one excessive limit does not block an account. */
const MAX_OUTPUT_TOKENS = 4096;

// A match inside a message text only affects the cost of the same account.
const MAX_TOKENS_PATTERN = /"max_(?:completion_)?tokens"\s*:\s*(\d+)/;

/**
 * Estimates the work of a request.
 *
 * @param body - body of the request
 * @returns number of input and output tokens
 */
export const estimateCost = (body: Buffer): number => {
  const limit = MAX_TOKENS_PATTERN.exec(body.toString('latin1'))?.[1];
  const outputTokens = limit === undefined ? DEFAULT_OUTPUT_TOKENS : Number(limit);
  return 1 + body.length / BYTES_PER_TOKEN + Math.min(outputTokens, MAX_OUTPUT_TOKENS);
};
