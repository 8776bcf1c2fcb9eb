/** Shared entry point of the binaries of the platform stand-ins. */
import { parseArgs } from 'node:util';
import type { Standin, StandinAddress } from './startStandinServer.js';

/**
 * Starts a stand-in at the address given on the command line (`--host`, `--port`), prints its URL
 * and stops it on SIGTERM or SIGINT.
 *
 * @param start - function that starts the stand-in
 */
export const runStandin = async (
  start: (address: StandinAddress) => Promise<Standin>,
): Promise<void> => {
  const { values } = parseArgs({
    options: {
      host: { type: 'string', default: '127.0.0.1' },
      port: { type: 'string', default: '0' },
    },
  });
  const standin = await start({ host: values.host, port: Number(values.port) });
  const stop = (): void => {
    void standin.close();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  process.stdout.write(`${standin.url}\n`);
};
