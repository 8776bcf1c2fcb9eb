/** HTTP server for callers and operators. */
import { createServer, type Server } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { CallerConnection } from '@jacinthlug/control/callers/CallerConnection';
import { CallerConnections } from '@jacinthlug/control/callers/CallerConnections';
import { App, type Request, type Response } from '@tinyhttp/app';
import { err, type Result } from 'neverthrow';
import { authenticate } from '../access/authenticate.js';
import { checkHeaderAccount } from '../access/checkHeaderAccount.js';
import { checkOperator } from '../access/checkOperator.js';
import { findCredentials, splitRequestTarget } from '../access/credentials.js';
import type { Lifecycle } from '../lifecycle/Lifecycle.js';
import type { DeclaredRouteHandler } from '../online/DeclaredRouteHandler.js';
import type { Caller, CallerHandler, Endpoint, Exchange, OperatorHandler } from './Exchange.js';
import { openExchange } from './openExchange.js';
import { writeJson } from './writeJson.js';
import { writeRefusal } from './writeRefusal.js';

/** Timeout for operators' requests, and for callers' requests until the key is known. Unit: ms. */
const DEFAULT_TIMEOUT_MS = 60_000;

/** Dependencies of {@link createOuterServer}. */
export interface OuterServerDependencies {
  readonly follower: ConfigurationFollower;
  readonly lifecycle: Lifecycle;
  readonly routes: DeclaredRouteHandler;
  readonly callerEndpoints: readonly Endpoint<CallerHandler>[];
  readonly operatorEndpoints: readonly Endpoint<OperatorHandler>[];
  readonly operatorCredentialSha256: string;
  /** Memory for the bodies of all requests. */
  readonly bodies: BodyBudget;
  /** Maximum number of connections. */
  readonly maxConnections: number;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

type ExchangeHandler = (exchange: Exchange) => Promise<Result<void, Refusal>>;

const getRequestTarget = (request: Request): string => request.originalUrl ?? request.url ?? '/';

const toError = (thrown: unknown): Error =>
  thrown instanceof Error ? thrown : new Error(String(thrown));

/** Handles the requests at the outer address. */
class OuterApp {
  private readonly app: App;

  constructor(private readonly dependencies: OuterServerDependencies) {
    this.app = new App({
      settings: { xPoweredBy: false },
      noMatchHandler: (request, response) =>
        this.serve(request, response, (exchange) => this.handleRouteRequest(exchange)),
      onError: (error, request, response) =>
        this.serve(request, response, () => Promise.reject(toError(error))),
    });
    this.mountHealthEndpoints();
    dependencies.callerEndpoints.forEach((endpoint) =>
      this.mount(endpoint, (exchange) => this.handleCallerRequest(exchange, endpoint.handle)),
    );
    dependencies.operatorEndpoints.forEach((endpoint) =>
      this.mount(endpoint, (exchange) => this.handleOperatorRequest(exchange, endpoint.handle)),
    );
  }

  buildServer(): Server {
    const connections = new CallerConnections(this.dependencies);
    const server = createServer((request, response) => {
      if (!connections.get(request.socket)?.begin(request, response)) return;
      void this.app.handler(request as Request, response as Response);
    });
    server.on('connection', (socket) =>
      connections.add(socket, new CallerConnection(socket, server, () => undefined)),
    );
    return server;
  }

  private mountHealthEndpoints(): void {
    this.app.get('/healthz', (_, response) =>
      writeJson(response, 200, { status: 'ok', counters: this.dependencies.metrics.totals() }),
    );
    this.app.get('/readyz', (request, response) => {
      const refusal = this.checkReadiness();
      if (refusal)
        writeRefusal(
          response,
          refusal,
          openExchange(request, response, 0, this.dependencies.bodies).requestId,
        );
      else writeJson(response, 200, { status: 'ready' });
    });
  }

  private checkReadiness(): Refusal | undefined {
    if (this.dependencies.lifecycle.isStopping()) return refuse('stopping');
    const inForce = this.dependencies.follower.inForce();
    return inForce.isErr() ? inForce.error : undefined;
  }

  private mount<Handler>({ method, path }: Endpoint<Handler>, handle: ExchangeHandler): void {
    const handler = (request: Request, response: Response) => {
      // tinyhttp passes HEAD requests to the handlers of all methods, including DELETE.
      const isSameMethod = request.method === method;
      return this.serve(
        request,
        response,
        isSameMethod ? handle : (exchange) => this.handleRouteRequest(exchange),
      );
    };
    this.app[method.toLowerCase() as Lowercase<typeof method>](path, handler);
  }

  /** Handles one exchange and writes its refusal, if there is one. */
  private async serve(
    request: Request,
    response: Response,
    handle: ExchangeHandler,
  ): Promise<void> {
    const { lifecycle, bodies } = this.dependencies;
    const exchange = openExchange(request, response, DEFAULT_TIMEOUT_MS, bodies);
    response.on('error', () => undefined);
    // Closing the connection makes the caller send its next request to another host.
    if (lifecycle.isStopping()) response.shouldKeepAlive = false;
    const endExchange = lifecycle.beginExchange();
    try {
      const outcome = endExchange ? await handle(exchange) : err(refuse('stopping'));
      if (outcome.isErr()) this.refuse(exchange, outcome.error);
    } catch (error) {
      const { requestId } = exchange;
      const { stack, message } = toError(error);
      this.dependencies.journal.record('unhandled-fault', { request: requestId, message, stack });
      this.refuse(exchange, refuse('internal-fault'));
    } finally {
      endExchange?.();
    }
  }

  private refuse({ response, requestId }: Exchange, refusal: Refusal): void {
    this.dependencies.metrics.count('requests.refused', { code: refusal.code });
    this.dependencies.journal.record('request-refused', { request: requestId, code: refusal.code });
    if (!response.destroyed) writeRefusal(response, refusal, requestId);
  }

  private async handleCallerRequest(
    exchange: Exchange,
    handle: CallerHandler,
  ): Promise<Result<void, Refusal>> {
    const caller = this.findCaller(exchange);
    if (caller.isErr()) return err(caller.error);
    const { timeLimitMs } = caller.value.key.settings;
    const deadline = performance.now() + timeLimitMs;
    return handle({ ...exchange, deadline }, caller.value);
  }

  private findCaller({ request }: Exchange): Result<Caller, Refusal> {
    const credentials = findCredentials(request.headers, getRequestTarget(request));
    return this.dependencies.follower
      .inForce()
      .andThen((configuration) =>
        authenticate(configuration, credentials).andThen((key) =>
          checkHeaderAccount(request.headers, key.account).map(() => ({ key, configuration })),
        ),
      );
  }

  private async handleOperatorRequest(
    exchange: Exchange,
    handle: OperatorHandler,
  ): Promise<Result<void, Refusal>> {
    const { headers } = exchange.request;
    const checked = checkOperator(headers, this.dependencies.operatorCredentialSha256);
    return checked.isErr() ? err(checked.error) : handle(exchange);
  }

  private async handleRouteRequest(exchange: Exchange): Promise<Result<void, Refusal>> {
    const { request } = exchange;
    const { path } = splitRequestTarget(getRequestTarget(request));
    const route = this.dependencies.routes.findRoute(request.method ?? 'GET', path);
    if (route.isErr()) return err(route.error);
    if (route.value.open) return this.dependencies.routes.handle(exchange, route.value, undefined);
    const caller = this.findCaller(exchange);
    if (caller.isErr()) return err(caller.error);
    return this.dependencies.routes.handle(exchange, route.value, caller.value.key);
  }
}

/**
 * Creates the server for the outer address, which does not listen yet.
 *
 * @param dependencies - dependencies of the server
 * @returns the server
 */
export const createOuterServer = (dependencies: OuterServerDependencies): Server =>
  new OuterApp(dependencies).buildServer();
