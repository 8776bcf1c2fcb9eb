/** Child processes of the launcher. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';

/** A running or ended child process. */
export interface LaunchedProcess {
  readonly name: string;
  readonly pid: number;
  /** Returns the exit code, or null while the process runs or if a signal ended it. */
  exitCode(): number | null;
  /**
   * Sends a signal.
   *
   * @param signal - signal name, such as `SIGKILL`
   */
  signal(signal: NodeJS.Signals): void;
  /**
   * Stops the process with SIGTERM, then with SIGKILL if it has not exited in time.
   *
   * @param timeoutMs - maximum time for a graceful shutdown. Unit: ms
   * @returns the exit code, or null if a signal ended the process
   */
  stop(timeoutMs: number): Promise<number | null>;
}

/** Options of {@link launchProcess}. */
export interface LaunchOptions {
  readonly name: string;
  /** Path of the script. */
  readonly script: string;
  readonly args: readonly string[];
  /** Whether the logs of the process are passed to standard error. */
  readonly verbose: boolean;
}

/**
 * Starts a Node.js process.
 *
 * @param options - script and arguments
 * @returns the process
 */
export const launchProcess = ({ name, script, args, verbose }: LaunchOptions): LaunchedProcess => {
  const child = spawn(process.execPath, [script, ...args], {
    // Ctrl-C in a terminal signals the whole process group. A group of its own keeps the signal from
    // the child, which the launcher stops itself.
    detached: true,
    stdio: ['ignore', 'ignore', verbose ? 'inherit' : 'ignore'],
  });
  const exited = once(child, 'exit');
  const { pid } = child;
  if (pid === undefined) throw new Error(`${name}: process could not be started`);
  return {
    name,
    pid,
    exitCode: () => child.exitCode,
    signal: (signal) => {
      child.kill(signal);
    },
    async stop(timeoutMs) {
      if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
      child.kill('SIGTERM');
      // A process suspended by SIGSTOP must be resumed before it can handle SIGTERM.
      child.kill('SIGCONT');
      const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
      await exited;
      clearTimeout(timer);
      return child.exitCode;
    },
  };
};
