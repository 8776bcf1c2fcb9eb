/** Base class of all commands: JSON output and exit codes. */
import { Command } from '@oclif/core';
import { CommandFailure, formatFailure, type FailureReport } from './CommandFailure.js';
import { exitCodes } from './exitCodes.js';

/** An exception that oclif or the program throws, with its exit code if it has one. */
interface ThrownError extends Error {
  readonly oclif?: { readonly exit?: number };
}

/** A command that reports its failures with a message and an exit code. */
export abstract class ReportingCommand extends Command {
  static override enableJsonFlag = true;

  protected override async catch(error: ThrownError): Promise<void> {
    if (!(error instanceof CommandFailure) && !this.jsonEnabled()) throw error;
    const { report, exitCode } = ReportingCommand.describeError(error);
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
