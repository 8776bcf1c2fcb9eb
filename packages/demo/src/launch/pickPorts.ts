/** Free ports for the processes of a fleet. */
import { createServer, type Server } from 'node:net';
import { promisify } from 'node:util';

const LOOPBACK = '127.0.0.1';

/**
 * The ports are below the kernel's ephemeral range: an outgoing connection could take a port of that
 * range after it was picked and before the process listens on it.
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
 * Picks random free ports, so that fleets started at the same time rarely pick the same one.
 *
 * Each port is held open until the last one is picked, so that none is picked twice.
 *
 * @param count - number of ports
 * @returns the ports
 */
export const pickPorts = async (count: number): Promise<number[]> => {
  const servers = new Map<number, Server>();
  for (let attempts = 0; servers.size < count && attempts < MAX_ATTEMPTS; attempts += 1) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const server = servers.has(port) ? undefined : await tryListen(port);
    if (server) servers.set(port, server);
  }
  await Promise.all([...servers.values()].map((server) => promisify(server.close.bind(server))()));
  if (servers.size < count) throw new Error('not enough free ports');
  return [...servers.keys()];
};
