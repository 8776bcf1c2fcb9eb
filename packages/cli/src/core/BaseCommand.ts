/** Base class of all commands: common flags, JSON output and exit codes. */
import { Command, Flags } from '@oclif/core';
import { CommandFailure, formatFailure, type FailureReport } from './CommandFailure.js';
import { EntryHostClient } from './EntryHostClient.js';
import { exitCodes } from './exitCodes.js';

/** An exception that oclif or the program throws, with its exit code if it has one. */
interface ThrownError extends Error {
  readonly oclif?: { readonly exit?: number };
}

/** Values of the flags that describe the connection to an entry host. */
export interface ConnectionFlags {
  readonly url: string;
  /** Maximum duration of the command. Unit: seconds. */
  readonly timeout: number;
}

/** A command that calls an entry host. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  static override baseFlags = {
    url: Flags.string({
      description: 'base URL of an entry host',
      env: 'JACINTHLUG_URL',
      required: true,
      helpGroup: 'CONNECTION',
    }),
    timeout: Flags.integer({
      description: 'maximum duration of the command, in seconds',
      default: 30,
      min: 1,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Creates a client of the entry host.
   *
   * @param flags - URL of the entry host and timeout
   * @param bearer - operator credential or key, sent as a bearer token
   * @returns the client
   */
  protected static createBearerClient(
    { url, timeout }: ConnectionFlags,
    bearer: string,
  ): EntryHostClient {
    return new EntryHostClient({ url, bearer, deadline: performance.now() + timeout * 1000 });
  }

  protected override async catch(error: ThrownError): Promise<void> {
    if (!(error instanceof CommandFailure) && !this.jsonEnabled()) throw error;
    const { report, exitCode } = BaseCommand.describeError(error);
    process.exitCode = exitCode;
    if (this.jsonEnabled()) this.logJson({ error: { ...report, exitCode } });
    else this.logToStderr(formatFailure(report));
  }

  private static describeError(error: ThrownError): { report: FailureReport; exitCode: number } {
    if (error instanceof CommandFailure) return error;
    const exitCode = error.oclif?.exit ?? exitCodes.fault;
    const code = exitCode === exitCodes.usage ? 'usage' : 'fault';
    return { report: { code, message: error.message }, exitCode };
  }
}
