/** Finds routes, accounts and services in one version of the configuration. */
import { findAllowedRegions, type AllowedRegions } from '../routing/allowedRegions.js';
import type { Account, Route, Service, ServingConfiguration } from './ServingConfiguration.js';

/** Lookup indexes of one configuration version. */
export class ConfigurationIndex {
  private readonly routesByHost = new Map<string, Route[]>();

  private readonly accountsByKey = new Map<string, Account>();

  private readonly accounts: ReadonlyMap<string, Account>;

  private readonly services: ReadonlyMap<string, Service>;

  private readonly routes: ReadonlyMap<string, Route>;

  constructor(readonly configuration: ServingConfiguration) {
    configuration.routes.forEach((route) => {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    });
    // The longest matching prefix takes precedence.
    this.routesByHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    configuration.accounts.forEach((account) =>
      account.keys.forEach((key) => this.accountsByKey.set(key, account)),
    );
    this.accounts = new Map(configuration.accounts.map((account) => [account.name, account]));
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    this.routes = new Map(configuration.routes.map((route) => [route.name, route]));
  }

  /**
   * Finds the route of a request.
   *
   * @param host - value of the `Host` header
   * @param path - path with or without a query
   * @returns the route with the longest matching prefix; undefined if none matches
   */
  findRoute(host: string, path: string): Route | undefined {
    return this.routesByHost.get(host)?.find(({ prefix }) => path.startsWith(prefix));
  }

  /**
   * Finds a route by its name.
   *
   * @param name - name of the route
   * @returns the route; undefined if it does not exist
   */
  findRouteByName(name: string): Route | undefined {
    return this.routes.get(name);
  }

  /**
   * Finds the account of an API key.
   *
   * @param key - API key of a caller
   * @returns the account; undefined if no account has the key
   */
  findAccount(key: string): Account | undefined {
    return this.accountsByKey.get(key);
  }

  /**
   * Finds the regions in which the items of a batch job may run.
   *
   * @param job - names of its route and account
   * @returns the regions; undefined if any will do
   */
  findAllowedRegions(job: {
    readonly route: string;
    readonly account: string;
  }): AllowedRegions | undefined {
    return findAllowedRegions(this.routes.get(job.route), this.accounts.get(job.account));
  }

  /**
   * Finds a service by its name.
   *
   * @param name - name of the service
   * @returns the service; undefined if it does not exist
   */
  findService(name: string): Service | undefined {
    return this.services.get(name);
  }
}
