/** HTTP server on the inner address. */
import { createServer, type RequestListener, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { App } from '@tinyhttp/app';
import { CONTROL_PATH, RUN_PATH } from '@jacinthlug/protocol/headers';
import type { Address } from '@jacinthlug/settings/process/hostSettings';
import type { RunEndpoint } from './runEndpoint.js';

/** Dependencies of {@link InnerServer}. */
export interface InnerServerDependencies {
  readonly address: Address;
  readonly runEndpoint: RunEndpoint;
  readonly controlListener: RequestListener;
  /** Checks whether new requests are accepted, for load balancers and launchers. */
  readonly isReady: () => boolean;
}

/**
 * Keep-alive timeout; longer than that of the peers, so that only they close idle connections.
 * Unit: ms.
 */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Time for responses that are still being written when the server closes. Unit: ms. */
const CLOSE_GRACE_MS = 100;

const createApp = ({ runEndpoint, isReady }: InnerServerDependencies): App =>
  new App({ settings: { xPoweredBy: false } })
    .get('/healthz', (_request, response) => {
      response.status(200).end();
    })
    .get('/readyz', (_request, response) => {
      response.status(isReady() ? 200 : 503).end();
    })
    .post(RUN_PATH, runEndpoint);

/** HTTP server on the inner address. */
export class InnerServer {
  private readonly server: Server;

  constructor(private readonly dependencies: InnerServerDependencies) {
    const app = createApp(dependencies);
    this.server = createServer((request, response) => {
      if (request.url?.startsWith(`${CONTROL_PATH}/`))
        dependencies.controlListener(request, response);
      else void app.handler(request as never, response as never);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  listen(): Promise<void> {
    const { host, port } = this.dependencies.address;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    await Promise.race([closed, sleep(CLOSE_GRACE_MS, undefined, { ref: false })]);
    this.server.closeAllConnections();
    await closed;
  }
}
