/** Withdraws a key and waits until every entry host refuses it. */
import { setTimeout as sleep } from 'node:timers/promises';
import { getCaller, type Step } from './Step.js';

const WITHDRAWAL_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;

/** Measures the time from the withdrawal of a key until every entry host refuses it. */
export const withdrawnKey: Step = {
  title: 'withdrawn key',
  async run(fleet) {
    const { key } = getCaller(fleet, 0, fleet.deployment.accounts.length - 1);
    const requestModels = async (url: string): Promise<number> => {
      const response = await fetch(`${url}/v1/models`, {
        headers: { authorization: `Bearer ${key.secret}` },
      });
      await response.arrayBuffer();
      return response.status;
    };
    const urls = fleet.entries.map(({ url }) => url ?? '');
    const before = await Promise.all(urls.map(requestModels));
    if (before.some((status) => status !== 200))
      throw new Error(`statuses before the withdrawal: ${before.join(', ')}`);
    await fleet.operator.withdrawKey(key.id);
    const withdrawnAt = performance.now();
    let after = await Promise.all(urls.map(requestModels));
    while (after.some((status) => status !== 401)) {
      if (performance.now() - withdrawnAt > WITHDRAWAL_TIMEOUT_MS)
        throw new Error(`statuses after the withdrawal: ${after.join(', ')}`);
      await sleep(POLL_INTERVAL_MS);
      after = await Promise.all(urls.map(requestModels));
    }
    const tookMs = Math.round(performance.now() - withdrawnAt);
    return `refused by ${urls.length} entry hosts ${tookMs} ms after the withdrawal was accepted`;
  },
};
