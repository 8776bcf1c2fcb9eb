/** Calls of a plain service: one that runs at most once, and one that is open to all. */
import { getCaller, type Step } from './Step.js';

const countRuns = async (services: readonly string[], path: string): Promise<number> => {
  const lists = await Promise.all(
    services.map(async (url) => {
      const response = await fetch(`${url}/_standin/requests`);
      return (await response.json()) as { path: string }[];
    }),
  );
  return lists.flat().filter((request) => request.path === path).length;
};

/** A booking that is sent twice, through two entry hosts. */
export const plainService: Step = {
  title: 'plain service',
  async run(fleet) {
    const { once, open } = fleet.deployment.routes;
    const body = JSON.stringify({ visit: { number: 'V-1' }, order: { number: 'V-1' } });
    const statuses: number[] = [];
    for (const entry of [0, 1]) {
      const { url, key } = getCaller(fleet, entry, 0);
      const response = await fetch(`${url}${once}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key.secret}`, 'content-type': 'application/json' },
        body,
      });
      await response.arrayBuffer();
      statuses.push(response.status);
    }
    const runs = await countRuns(fleet.standins.services, once);
    if (runs !== 1) throw new Error(`the request ran ${runs} times`);
    const { url } = getCaller(fleet, 1, 0);
    const openAnswer = await fetch(`${url}${open}`);
    if (!openAnswer.ok) throw new Error(`the open route answered ${openAnswer.status}`);
    return `sent twice (${statuses.join(', ')}), ran once; open route ${openAnswer.status}`;
  },
};
