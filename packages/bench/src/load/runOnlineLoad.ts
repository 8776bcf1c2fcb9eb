/** Sends the online requests of a run at their scheduled times. */
import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '@jacinthlug/demo/launch/Fleet';
import { Agent } from 'undici';
import type { ScheduledRequest } from '../schedule/planRequests.js';
import { sendChat, type ChatOutcome } from './sendChat.js';

/** Timeout for responses after the last request was sent. Unit: ms. */
const RESPONSE_TIMEOUT_MS = 15_000;

/** Outcomes of the online requests, in their order. */
export interface OnlineLoadOutcome {
  readonly outcomes: readonly ChatOutcome[];
  /** Delay between the scheduled time of each request and its actual sending. Unit: ms. */
  readonly sendLagsMs: readonly number[];
}

/**
 * Sends requests as an open loop: no request waits for the response of another.
 *
 * @param fleet - the fleet
 * @param requests - requests, ordered by scheduled time
 * @param startAt - start of the load, monotonic. Unit: ms
 * @returns outcomes of the requests
 */
export const runOnlineLoad = async (
  fleet: Fleet,
  requests: readonly ScheduledRequest[],
  startAt: number,
): Promise<OnlineLoadOutcome> => {
  const dispatcher = new Agent({ connections: null, pipelining: 1 });
  const abort = new AbortController();
  // All running requests listen to this signal; Node.js warns above ten listeners by default.
  setMaxListeners(0, abort.signal);
  const urls = new Map(fleet.entries.map(({ name, url }) => [name, url ?? '']));
  const sendLagsMs: number[] = [];
  const running: Promise<ChatOutcome>[] = [];
  for (const { atMs, account, entry, prompt, outputTokens } of requests) {
    const dueAt = startAt + atMs;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    sendLagsMs.push(performance.now() - dueAt);
    running.push(
      sendChat(dispatcher, {
        url: urls.get(entry) ?? '',
        key: fleet.keys.get(account)?.secret ?? '',
        model: fleet.deployment.model,
        prompt,
        outputTokens,
        dueAt,
        signal: abort.signal,
      }),
    );
  }
  const timer = setTimeout(() => abort.abort(), RESPONSE_TIMEOUT_MS);
  const outcomes = await Promise.all(running);
  clearTimeout(timer);
  await dispatcher.destroy();
  return { outcomes, sendLagsMs };
};
