/** Calls a route that runs each request at most once and a route that needs no key. */
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

/** Sends the same booking through two entry hosts and checks that it runs only once. */
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
    if (runs !== 1) throw new Error(`the request ran ${runs} times instead of once`);
    const { url } = getCaller(fleet, 1, 0);
    const openResponse = await fetch(`${url}${open}`);
    if (!openResponse.ok)
      throw new Error(`the open route responded with status ${openResponse.status}`);
    return `sent twice (${statuses.join(', ')}), ran once; open route ${openResponse.status}`;
  },
};
