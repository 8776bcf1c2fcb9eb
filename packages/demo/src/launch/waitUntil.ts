/** Polling for a condition of another process. */
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 50;

/**
 * Polls until a condition holds.
 *
 * @param description - what is waited for, named in the error
 * @param timeoutMs - maximum wait. Unit: ms
 * @param checkCondition - returns whether the condition holds; a rejection counts as false
 * @returns a promise that resolves once the condition holds, and rejects after the timeout
 */
export const waitUntil = async (
  description: string,
  timeoutMs: number,
  checkCondition: () => Promise<boolean>,
): Promise<void> => {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await checkCondition().catch(() => false)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${description}: timed out after ${timeoutMs} ms`);
};

/**
 * Polls a URL until it responds with a 2xx status.
 *
 * @param url - URL to request, such as a `/readyz`
 * @param timeoutMs - maximum wait. Unit: ms
 * @returns a promise that resolves after the first success, and rejects after the timeout
 */
export const waitForSuccess = (url: string, timeoutMs: number): Promise<void> =>
  waitUntil(url, timeoutMs, async () => (await fetch(url)).ok);
