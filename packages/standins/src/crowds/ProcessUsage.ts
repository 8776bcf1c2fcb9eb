/** Memory and descriptors of a process. */
import { readdir, readFile, readlink } from 'node:fs/promises';

const BYTES_PER_KIB = 1024;

/** Interval at which descriptors are counted. Unit: ms. */
const COUNT_INTERVAL_MS = 50;

/**
 * Reads the peak memory of a process.
 *
 * @param pid - id of the process
 * @returns the peak of its resident memory; NaN if it has ended. Unit: bytes
 */
export const readPeakBytes = async (pid: number): Promise<number> => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const [, kib] = /^VmHWM:\s+(\d+) kB/m.exec(status) ?? [];
  return Number(kib) * BYTES_PER_KIB;
};

/** Counts the sockets and pipes of a process; 0 if it has ended. */
const countSockets = async (pid: number): Promise<number> => {
  const folder = `/proc/${pid}/fd`;
  const descriptors = await readdir(folder).catch(() => []);
  const links = await Promise.all(
    descriptors.map((name) => readlink(`${folder}/${name}`).catch(() => '')),
  );
  return links.filter((link) => /^(socket|pipe):/.test(link)).length;
};

/** Counts the sockets and pipes of a process again and again. */
export class SocketCount {
  /** Highest count so far. */
  peak = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(pid: number) {
    this.timer = setInterval(() => {
      void countSockets(pid).then((count) => {
        this.peak = Math.max(this.peak, count);
      });
    }, COUNT_INTERVAL_MS);
  }

  /** Ends counting. */
  stop(): void {
    clearInterval(this.timer);
  }
}
