/** The line of JSON that `npm run demo -- --stay` prints. */
import type { Fleet } from './launch/Fleet.js';

/**
 * Describes a running fleet in a form for scripts.
 *
 * @param fleet - a running fleet
 * @returns addresses, keys, routes and processes of the fleet
 */
export const describeFleet = (fleet: Fleet) => ({
  entries: fleet.entries.map(({ url }) => url),
  keys: Object.fromEntries([...fleet.keys].map(([account, { secret }]) => [account, secret])),
  model: fleet.deployment.model,
  operator: { url: fleet.operator.url, credential: fleet.operator.credential },
  routes: fleet.deployment.routes,
  standins: {
    engines: fleet.standins.engines,
    services: fleet.standins.services,
    table: fleet.standins.table,
    objects: fleet.standins.objects,
  },
  processes: fleet.processes().map(({ name, pid }) => ({ name, pid })),
});
