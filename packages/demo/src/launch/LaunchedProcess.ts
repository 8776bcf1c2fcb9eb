/** A child process of the launcher. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';

/** A child process of the launcher. */
export interface LaunchedProcess {
  readonly name: string;
  readonly pid: number;
  /** Exit code; null while it runs or when a signal ended it. */
  exitCode(): number | null;
  /**
   * Sends a signal.
   *
   * @param signal - such as `SIGKILL`
   */
  signal(signal: NodeJS.Signals): void;
  /**
   * Ends the process with SIGTERM, and with SIGKILL when it does not end in time.
   *
   * @param limitMs - time for a graceful shutdown. Unit: ms
   * @returns the exit code; null when a signal ended the process
   */
  stop(limitMs: number): Promise<number | null>;
}

/** What to start. */
export interface LaunchOptions {
  readonly name: string;
  /** Path of the script. */
  readonly script: string;
  readonly args: readonly string[];
  /** Whether logs are passed on to standard error. */
  readonly verbose: boolean;
}

/**
 * Starts a Node.js process.
 *
 * @param launch - what to start
 * @returns the process
 */
export const launchProcess = ({ name, script, args, verbose }: LaunchOptions): LaunchedProcess => {
  const child = spawn(process.execPath, [script, ...args], {
    // Ctrl-C in a terminal signals the whole process group; the launcher ends its children itself.
    detached: true,
    stdio: ['ignore', 'ignore', verbose ? 'inherit' : 'ignore'],
  });
  const exited = once(child, 'exit');
  const { pid } = child;
  if (pid === undefined) throw new Error(`${name} could not be started`);
  return {
    name,
    pid,
    exitCode: () => child.exitCode,
    signal: (signal) => {
      child.kill(signal);
    },
    async stop(limitMs) {
      if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
      child.kill('SIGTERM');
      // A stopped process must be resumed before it can handle SIGTERM.
      child.kill('SIGCONT');
      const timer = setTimeout(() => child.kill('SIGKILL'), limitMs);
      await exited;
      clearTimeout(timer);
      return child.exitCode;
    },
  };
};
