/** Starts a server for callers whose responses a test chooses. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, type AddressInfo } from 'node:net';
import type { CallerLimits } from '@jacinthlug/serving/configuration/ServingConfiguration';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import { CallerServer } from '@jacinthlug/serving/http/CallerServer';
import { Shutdown } from '@jacinthlug/serving/http/Shutdown';

/** A server and what its callers need. */
export interface StartedServer {
  readonly server: CallerServer;
  readonly shutdown: Shutdown;
  readonly port: number;
}

const pickPort = async (): Promise<number> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
};

/** More connections than the tests open. */
const MAX_CONNECTIONS = 1000;

/**
 * Starts a server.
 *
 * @param respond - responds to a request
 * @param limits - limits on what callers send, if they differ from those without a configuration
 * @param timeoutCheckMs - interval of the checks for late requests. Unit: ms
 * @returns the server
 */
export const startCallerServer = async (
  respond: (message: IncomingMessage, response: ServerResponse) => void,
  limits?: CallerLimits,
  timeoutCheckMs?: number,
): Promise<StartedServer> => {
  const shutdown = new Shutdown();
  const port = await pickPort();
  const server = new CallerServer(
    (message, response) => {
      respond(message, response);
      return Promise.resolve();
    },
    {
      shutdown,
      maxConnections: MAX_CONNECTIONS,
      journal: silentJournal,
      metrics: openMetrics('h-1'),
    },
    timeoutCheckMs,
  );
  if (limits) server.applyLimits(limits);
  await server.listen({ host: '127.0.0.1', port });
  return { server, shutdown, port };
};
