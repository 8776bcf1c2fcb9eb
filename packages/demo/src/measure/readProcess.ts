/** Reads the memory and the CPU time of a process from `/proc`. */
import { readFile } from 'node:fs/promises';

const KIB_PER_MIB = 1024;
/** Clock ticks per second in `/proc/<pid>/stat`; 100 on every Linux that Node.js supports. */
const TICKS_PER_SECOND = 100;

/**
 * Reads the resident memory of a process.
 *
 * @param pid - process id
 * @returns resident memory. Unit: MiB
 */
export const readResidentMib = async (pid: number): Promise<number> => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KIB_PER_MIB;
};

/**
 * Reads the CPU time that a process has used.
 *
 * @param pid - process id
 * @returns user and system CPU time. Unit: s
 */
export const readCpuSeconds = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  // Skips the process name, which may contain spaces. User and system time are fields 14 and 15.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
};
