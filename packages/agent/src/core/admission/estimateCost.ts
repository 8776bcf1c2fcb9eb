/** Work that an online request brings, for fair order. */

const BYTES_PER_TOKEN = 4;

/** Tokens assumed for an answer whose request sets no limit. */
const DEFAULT_OUTPUT_TOKENS = 256;

/** Largest answer counted, so that one careless limit does not shut an account out. */
const MAX_OUTPUT_TOKENS = 4096;

// A match inside a message text misjudges the cost of its own account only.
const MAX_TOKENS_PATTERN = /"max_(?:completion_)?tokens"\s*:\s*(\d+)/;

/**
 * Estimates the work of a request.
 *
 * @param body - body of the request
 * @returns tokens to read and to generate
 */
export const estimateCost = (body: Buffer): number => {
  const limit = MAX_TOKENS_PATTERN.exec(body.toString('latin1'))?.[1];
  const answerTokens = limit === undefined ? DEFAULT_OUTPUT_TOKENS : Number(limit);
  return 1 + body.length / BYTES_PER_TOKEN + Math.min(answerTokens, MAX_OUTPUT_TOKENS);
};
