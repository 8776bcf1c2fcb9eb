/** The OpenAI-compatible endpoints for files and batches. */
import type { CallerHandler, Endpoint } from '../http/Exchange.js';
import type { BatchDependencies } from './BatchDependencies.js';
import { createFileEndpoints } from './fileEndpoints.js';
import { createJobEndpoints } from './jobEndpoints.js';

/**
 * Creates the endpoints under `/v1/files` and `/v1/batches`.
 *
 * Batch items do not count against the online rate and burst of their account: they take no permit
 * from the rate shares. At the agent they run below all online requests, and there they count
 * against the account's fair share.
 *
 * @param dependencies - stores and the way to tell agents of a cancelled job
 * @returns the endpoints; files and jobs of other accounts are `not-found`
 */
export const createBatchEndpoints = (
  dependencies: BatchDependencies,
): Endpoint<CallerHandler>[] => [
  ...createFileEndpoints(dependencies),
  ...createJobEndpoints(dependencies),
];
