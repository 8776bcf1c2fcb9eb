/** Serves the routes of the declaration tree. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { GrantedKey, Route } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { Exchange } from '../http/Exchange.js';
import type { OnlineRunner } from './OnlineRunner.js';
import { readRequest, type StillServedCheck } from './readRequest.js';

const createRouteCheck =
  (route: Route, method: string): StillServedCheck =>
  (catalogue, { service }) => {
    const now = catalogue.findRoute(method, route.path);
    // A route that was closed, or that may no longer run twice, must not be served on its old terms.
    return (
      now?.service.name === service &&
      now.open === route.open &&
      now.repeatable === route.repeatable &&
      now.identityField === route.identityField
    );
  };

/** Runs requests on declared routes. */
export class DeclaredRouteHandler {
  constructor(
    private readonly follower: ConfigurationFollower,
    private readonly runner: OnlineRunner,
  ) {}

  /**
   * Runs a request on a route.
   *
   * @param exchange - exchange with the caller
   * @param route - the route
   * @param key - key of the caller; undefined on open routes
   * @returns nothing when an answer was begun, or the refusal
   */
  async handle(
    exchange: Exchange,
    route: Route,
    key: GrantedKey | undefined,
  ): Promise<Result<void, Refusal>> {
    const { maxBodyBytes, timeLimitMs, waitLimitMs } = route.settings;
    const { repeatable, identityField, service } = route;
    const terms = { route: route.name, repeatable, identityField, maxBodyBytes, timeLimitMs };
    const read = await readRequest(
      exchange,
      this.follower,
      { ...terms, waitLimitMs, ...(key && { key }) },
      () => ok({ service: service.name }),
      createRouteCheck(route, exchange.request.method ?? 'GET'),
    );
    return read.isErr() ? err(read.error) : this.runner.run(exchange, read.value);
  }

  /**
   * Finds the route of a request.
   *
   * @param method - HTTP method
   * @param path - path without query
   * @returns the route, or `route-unknown` or `configuration-unconfirmed`
   */
  findRoute(method: string, path: string): Result<Route, Refusal> {
    return this.follower.inForce().andThen((catalogue) => {
      const route = catalogue.findRoute(method, path);
      return route ? ok(route) : err(refuse('route-unknown'));
    });
  }
}
