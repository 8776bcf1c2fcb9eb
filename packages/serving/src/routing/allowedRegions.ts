/** Regions to which a route or client account binds its requests and items. */
import type {
  Account,
  Route,
  ServingConfiguration,
} from '../configuration/ServingConfiguration.js';

/** Names of the regions in which a request may run. */
export type AllowedRegions = ReadonlySet<string>;

/** Region of each failure domain, by name. */
export type RegionsByDomain = ReadonlyMap<string, string>;

type Restricted = Pick<Route | Account, 'allowedRegions'> | undefined;

/**
 * Finds the regions in which a request may run: those that both its route and its account allow.
 *
 * @param route - its route
 * @param account - its account, if it has one
 * @returns the regions, none if the two exclude each other; undefined if neither restricts them
 */
export const findAllowedRegions = (
  route: Restricted,
  account: Restricted,
): AllowedRegions | undefined => {
  const lists = [route?.allowedRegions, account?.allowedRegions].filter(
    (list) => list !== undefined,
  );
  if (lists.length === 0) return undefined;
  return new Set(lists[0]!.filter((region) => lists.every((list) => list.includes(region))));
};

/**
 * Checks whether a failure domain is in an allowed region. One without a known region is in none.
 *
 * @param failureDomain - name of the failure domain
 * @param allowed - the allowed regions; undefined if any will do
 * @param regions - regions of the failure domains
 * @returns whether work may be sent there
 */
export const isAllowed = (
  failureDomain: string,
  allowed: AllowedRegions | undefined,
  regions: RegionsByDomain,
): boolean => {
  if (!allowed) return true;
  const region = regions.get(failureDomain);
  return region !== undefined && allowed.has(region);
};

/**
 * Lists the allowed regions of a configuration in which no failure domain is.
 *
 * @param configuration - the configuration
 * @param regions - regions of the failure domains
 * @returns names of regions with the routes and accounts that allow them
 */
export const findUnknownRegions = (
  { routes, accounts }: Pick<ServingConfiguration, 'routes' | 'accounts'>,
  regions: RegionsByDomain,
): { readonly region: string; readonly allowedBy: string[] }[] => {
  const known = new Set(regions.values());
  const allowedBy = new Map<string, string[]>();
  [...routes, ...accounts].forEach(({ name, allowedRegions = [] }) =>
    allowedRegions
      .filter((region) => !known.has(region))
      .forEach((region) => allowedBy.set(region, [...(allowedBy.get(region) ?? []), name])),
  );
  return [...allowedBy].map(([region, names]) => ({ region, allowedBy: names }));
};
