/** Free ports for the processes of a fleet. */
import { createServer, type AddressInfo } from 'node:net';
import { promisify } from 'node:util';

const LOOPBACK = '127.0.0.1';

const openServer = () =>
  new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });

/**
 * Picks ports that are free now.
 *
 * All are held open until the last one is picked, so that no port comes twice.
 *
 * @param count - how many ports
 * @returns the ports
 */
export const pickPorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => promisify(server.close.bind(server))()));
  return ports;
};
