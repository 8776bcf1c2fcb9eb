/** Free ports for the processes of a fleet. */
import { createServer, type Server } from 'node:net';
import { promisify } from 'node:util';

const LOOPBACK = '127.0.0.1';

/**
 * Ports below the range from which the kernel takes the local ports of outgoing connections: a port of
 * that range may be taken between the pick and the start of the process that is to listen on it.
 */
const FIRST_PORT = 15_000;
const LAST_PORT = 30_000;
const MAX_ATTEMPTS = 2000;

const tryListen = (port: number): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, LOOPBACK, () => resolve(server));
  });

/**
 * Picks ports that are free now, at random, so that fleets started at the same time rarely meet.
 *
 * All are held open until the last one is picked, so that no port comes twice.
 *
 * @param count - how many ports
 * @returns the ports
 */
export const pickPorts = async (count: number): Promise<number[]> => {
  const servers = new Map<number, Server>();
  for (let tries = 0; servers.size < count && tries < MAX_ATTEMPTS; tries += 1) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const server = servers.has(port) ? undefined : await tryListen(port);
    if (server) servers.set(port, server);
  }
  await Promise.all([...servers.values()].map((server) => promisify(server.close.bind(server))()));
  if (servers.size < count) throw new Error('too few free ports');
  return [...servers.keys()];
};
