/** Handles requests on the routes of the declaration tree. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { GrantedKey, Route } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { Exchange } from '../http/Exchange.js';
import type { OnlineRunner } from './OnlineRunner.js';
import { readRequest, type StillServedCheck } from './readRequest.js';

const createRouteCheck =
  (route: Route, method: string): StillServedCheck =>
  (configuration, { service }) => {
    const current = configuration.findRoute(method, route.path);
    // If the route is no longer open or no longer repeatable, the request must not run under its old policy.
    return (
      current?.service.name === service &&
      current.open === route.open &&
      current.repeatable === route.repeatable &&
      current.identityField === route.identityField
    );
  };

/** Handles requests on declared routes. */
export class DeclaredRouteHandler {
  constructor(
    private readonly follower: ConfigurationFollower,
    private readonly runner: OnlineRunner,
  ) {}

  /**
   * Handles a request on a route.
   *
   * @param exchange - HTTP exchange with the caller
   * @param route - the route
   * @param key - key of the caller; undefined on open routes
   * @returns nothing if a response was started, otherwise the refusal
   */
  async handle(
    exchange: Exchange,
    route: Route,
    key: GrantedKey | undefined,
  ): Promise<Result<void, Refusal>> {
    const { maxBodyBytes, timeLimitMs, waitLimitMs } = route.settings;
    const { repeatable, identityField, service } = route;
    const policy = { route: route.name, repeatable, identityField, maxBodyBytes, timeLimitMs };
    const read = await readRequest(
      exchange,
      this.follower,
      { ...policy, waitLimitMs, ...(key && { key }) },
      () => ok({ service: service.name }),
      createRouteCheck(route, exchange.request.method ?? 'GET'),
    );
    return read.isErr() ? err(read.error) : this.runner.run(exchange, read.value);
  }

  /**
   * Finds the route of a request.
   *
   * @param method - HTTP method
   * @param path - path without the query
   * @returns the route, or `route-unknown` or `configuration-unconfirmed`
   */
  findRoute(method: string, path: string): Result<Route, Refusal> {
    return this.follower.inForce().andThen((configuration) => {
      const route = configuration.findRoute(method, path);
      return route ? ok(route) : err(refuse('route-unknown'));
    });
  }
}
