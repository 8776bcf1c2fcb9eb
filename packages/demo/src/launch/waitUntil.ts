/** Waiting for a condition of another process. */
import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 50;

/**
 * Polls until a condition holds.
 *
 * @param what - named when it does not come to hold
 * @param limitMs - longest wait. Unit: ms
 * @param holds - the condition; a rejection counts as not yet
 * @returns when the condition holds
 */
export const waitUntil = async (
  what: string,
  limitMs: number,
  holds: () => Promise<boolean>,
): Promise<void> => {
  const deadline = performance.now() + limitMs;
  while (performance.now() < deadline) {
    if (await holds().catch(() => false)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${what}: not within ${limitMs} ms`);
};

/**
 * Polls until a URL answers with a success.
 *
 * @param url - such as a `/readyz`
 * @param limitMs - longest wait. Unit: ms
 * @returns when it does
 */
export const waitForSuccess = (url: string, limitMs: number): Promise<void> =>
  waitUntil(url, limitMs, async () => (await fetch(url)).ok);
