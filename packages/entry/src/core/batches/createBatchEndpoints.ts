/** OpenAI-compatible endpoints for files and batches. */
import type { CallerHandler, Endpoint } from '../http/Exchange.js';
import type { BatchDependencies } from './BatchDependencies.js';
import { createFileEndpoints } from './fileEndpoints.js';
import { createJobEndpoints } from './jobEndpoints.js';

/**
 * Creates the endpoints under `/v1/files` and `/v1/batches`.
 *
 * Batch items do not count against the online rate and burst of their account, since they take no
 * permits from the rate shares. Agents run them at a lower priority than all online requests and
 * count them against the account's fair share.
 *
 * @param dependencies - stores, and the function that notifies agents of a cancelled job
 * @returns the endpoints; they refuse files and jobs of other accounts with `not-found`
 */
export const createBatchEndpoints = (
  dependencies: BatchDependencies,
): Endpoint<CallerHandler>[] => [
  ...createFileEndpoints(dependencies),
  ...createJobEndpoints(dependencies),
];
