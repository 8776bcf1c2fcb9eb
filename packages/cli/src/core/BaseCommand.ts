/** What all commands have in common: flags, JSON output and exit codes. */
import { Command, Flags } from '@oclif/core';
import { CommandFailure, formatFailure, type FailureReport } from './CommandFailure.js';
import { EntryHostClient } from './EntryHostClient.js';
import { exitCodes } from './exitCodes.js';

/** Exit code and message of an exception that oclif or the program throws. */
interface ThrownError extends Error {
  readonly oclif?: { readonly exit?: number };
}

/** Values of the flags that lead to an entry host. */
export interface ConnectionFlags {
  readonly url: string;
  /** Unit: seconds. */
  readonly timeout: number;
}

/** A command that talks to an entry host. */
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
      description: 'seconds after which the command gives up',
      default: 30,
      min: 1,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Opens the client of the entry host.
   *
   * @param flags - where it is
   * @param bearer - operator credential or key
   * @returns the client
   */
  protected static createBearerClient(
    { url, timeout }: ConnectionFlags,
    bearer: string,
  ): EntryHostClient {
    return new EntryHostClient({ url, bearer, deadline: performance.now() + timeout * 1000 });
  }

  protected override async catch(thrown: ThrownError): Promise<void> {
    if (!(thrown instanceof CommandFailure) && !this.jsonEnabled()) throw thrown;
    const { report, exitCode } = BaseCommand.describeError(thrown);
    process.exitCode = exitCode;
    if (this.jsonEnabled()) this.logJson({ error: { ...report, exitCode } });
    else this.logToStderr(formatFailure(report));
  }

  private static describeError(thrown: ThrownError): { report: FailureReport; exitCode: number } {
    if (thrown instanceof CommandFailure) return thrown;
    const exitCode = thrown.oclif?.exit ?? exitCodes.fault;
    const code = exitCode === exitCodes.usage ? 'usage' : 'fault';
    return { report: { code, message: thrown.message }, exitCode };
  }
}
