/** Sends the online requests of a run at their intended times. */
import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '@jacinthlug/demo/launch/Fleet';
import { Agent } from 'undici';
import type { ScheduledRequest } from '../schedule/planRequests.js';
import { sendChat, type ChatOutcome } from './sendChat.js';

/** Longest wait for answers after the last request. Unit: ms. */
const RESPONSE_TIMEOUT_MS = 15_000;

/** Outcomes of a run, in the order of the requests. */
export interface OnlineLoadOutcome {
  readonly outcomes: readonly ChatOutcome[];
  /** How late the generator itself sent each request. Unit: ms. */
  readonly sendLagsMs: readonly number[];
}

/**
 * Sends requests; none waits for the answer of another.
 *
 * @param fleet - the fleet
 * @param sends - requests by intended time
 * @param startAt - start of the load, monotonic. Unit: ms
 * @returns what became of each
 */
export const runOnlineLoad = async (
  fleet: Fleet,
  sends: readonly ScheduledRequest[],
  startAt: number,
): Promise<OnlineLoadOutcome> => {
  const dispatcher = new Agent({ connections: null, pipelining: 1 });
  const abort = new AbortController();
  // Each running request listens to the one signal; Node.js warns beyond ten by default.
  setMaxListeners(0, abort.signal);
  const urls = new Map(fleet.entries.map(({ name, url }) => [name, url ?? '']));
  const sendLagsMs: number[] = [];
  const running: Promise<ChatOutcome>[] = [];
  for (const { atMs, account, entry, prompt, outputTokens } of sends) {
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
  const limit = setTimeout(() => abort.abort(), RESPONSE_TIMEOUT_MS);
  const outcomes = await Promise.all(running);
  clearTimeout(limit);
  await dispatcher.destroy();
  return { outcomes, sendLagsMs };
};
