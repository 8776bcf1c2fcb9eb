/** HTTP server of callers and operators. */
import { createServer, type Server } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import { App, type Request, type Response } from '@tinyhttp/app';
import { err, type Result } from 'neverthrow';
import { authenticate } from '../access/authenticate.js';
import { checkHeaderAccount } from '../access/checkHeaderAccount.js';
import { checkOperator } from '../access/checkOperator.js';
import { findCredentials, splitTarget } from '../access/credentials.js';
import type { Lifecycle } from '../lifecycle/Lifecycle.js';
import type { DeclaredRoutes } from '../online/DeclaredRoutes.js';
import type { Caller, CallerHandler, Endpoint, Exchange, OperatorHandler } from './Exchange.js';
import { openExchange } from './openExchange.js';
import { writeJson } from './writeJson.js';
import { writeRefusal } from './writeRefusal.js';

/** Time that an exchange may take before its key is known, and that operators' requests may take. Unit: ms. */
const DEFAULT_TIME_LIMIT_MS = 60_000;

/** What the server needs. */
export interface OuterServerNeeds {
  readonly follower: ConfigurationFollower;
  readonly lifecycle: Lifecycle;
  readonly routes: DeclaredRoutes;
  readonly callerEndpoints: readonly Endpoint<CallerHandler>[];
  readonly operatorEndpoints: readonly Endpoint<OperatorHandler>[];
  readonly operatorCredentialSha256: string;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

type Work = (exchange: Exchange) => Promise<Result<void, Refusal>>;

const targetOf = (request: Request): string => request.originalUrl ?? request.url ?? '/';

const asError = (fault: unknown): Error =>
  fault instanceof Error ? fault : new Error(String(fault));

/** Builds the server of the outer address. */
class OuterApp {
  private readonly app: App;

  constructor(private readonly needs: OuterServerNeeds) {
    this.app = new App({
      settings: { xPoweredBy: false },
      noMatchHandler: (request, response) =>
        this.serve(request, response, (exchange) => this.runRoute(exchange)),
      onError: (fault, request, response) =>
        this.serve(request, response, () => Promise.reject(asError(fault))),
    });
    this.mountHealth();
    needs.callerEndpoints.forEach((endpoint) =>
      this.mount(endpoint, (exchange) => this.runCaller(exchange, endpoint.handle)),
    );
    needs.operatorEndpoints.forEach((endpoint) =>
      this.mount(endpoint, (exchange) => this.runOperator(exchange, endpoint.handle)),
    );
  }

  listen(): Server {
    return createServer((request, response) =>
      this.app.handler(request as Request, response as Response),
    );
  }

  private mountHealth(): void {
    this.app.get('/healthz', (_, response) =>
      writeJson(response, 200, { status: 'ok', counters: this.needs.metrics.totals() }),
    );
    this.app.get('/readyz', (request, response) => {
      const refusal = this.findUnready();
      if (refusal) writeRefusal(response, refusal, openExchange(request, response, 0).requestId);
      else writeJson(response, 200, { status: 'ready' });
    });
  }

  private findUnready(): Refusal | undefined {
    if (this.needs.lifecycle.isStopping()) return refuse('stopping');
    const inForce = this.needs.follower.inForce();
    return inForce.isErr() ? inForce.error : undefined;
  }

  private mount<Handler>({ method, path }: Endpoint<Handler>, work: Work): void {
    const handler = (request: Request, response: Response) => {
      // tinyhttp gives HEAD requests to the handlers of every method, deletions included.
      const isMeant = request.method === method;
      return this.serve(request, response, isMeant ? work : (exchange) => this.runRoute(exchange));
    };
    this.app[method.toLowerCase() as Lowercase<typeof method>](path, handler);
  }

  /** Runs one exchange to its end and renders its refusal. */
  private async serve(request: Request, response: Response, work: Work): Promise<void> {
    const exchange = openExchange(request, response, DEFAULT_TIME_LIMIT_MS);
    response.on('error', () => undefined);
    const { lifecycle } = this.needs;
    // Callers go to another host for their next request.
    if (lifecycle.isStopping()) response.shouldKeepAlive = false;
    const finish = lifecycle.beginWork();
    try {
      const outcome = finish ? await work(exchange) : err(refuse('stopping'));
      if (outcome.isErr()) this.refuse(exchange, outcome.error);
    } catch (fault) {
      const { requestId } = exchange;
      const { stack, message } = asError(fault);
      this.needs.journal.record('unhandled-fault', { request: requestId, message, stack });
      this.refuse(exchange, refuse('internal-fault'));
    } finally {
      finish?.();
    }
  }

  private refuse({ response, requestId }: Exchange, refusal: Refusal): void {
    this.needs.metrics.count('requests.refused', { code: refusal.code });
    this.needs.journal.record('request-refused', { request: requestId, code: refusal.code });
    if (!response.destroyed) writeRefusal(response, refusal, requestId);
  }

  private async runCaller(
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
    const credentials = findCredentials(request.headers, targetOf(request));
    return this.needs.follower
      .inForce()
      .andThen((catalogue) =>
        authenticate(catalogue, credentials).andThen((key) =>
          checkHeaderAccount(request.headers, key.account).map(() => ({ key, catalogue })),
        ),
      );
  }

  private async runOperator(
    exchange: Exchange,
    handle: OperatorHandler,
  ): Promise<Result<void, Refusal>> {
    const { headers } = exchange.request;
    const checked = checkOperator(headers, this.needs.operatorCredentialSha256);
    return checked.isErr() ? err(checked.error) : handle(exchange);
  }

  private async runRoute(exchange: Exchange): Promise<Result<void, Refusal>> {
    const { request } = exchange;
    const { path } = splitTarget(targetOf(request));
    const route = this.needs.routes.find(request.method ?? 'GET', path);
    if (route.isErr()) return err(route.error);
    if (route.value.open) return this.needs.routes.run(exchange, route.value, undefined);
    const caller = this.findCaller(exchange);
    if (caller.isErr()) return err(caller.error);
    return this.needs.routes.run(exchange, route.value, caller.value.key);
  }
}

/**
 * Builds the server of the outer address; it does not listen yet.
 *
 * @param needs - parts that it serves
 * @returns the server
 */
export const createOuterServer = (needs: OuterServerNeeds): Server => new OuterApp(needs).listen();
