/** A failure that ends a command with a message and an exit code. */
import type { RunState } from '@jacinthlug/catalog/resultCodes';
import type { ExitCode } from './exitCodes.js';

/** Error report that a failed command prints. */
export interface FailureReport {
  /** Result code of the server, or an error code of the command line itself. */
  readonly code: string;
  /** Number of the result code; absent for error codes of the command line itself. */
  readonly number?: number | undefined;
  readonly message: string;
  readonly hint?: string | undefined;
  /** Whether the call was not run or its outcome is unknown. */
  readonly run?: RunState | undefined;
  readonly retryAfterSeconds?: number | undefined;
  /** Further details, such as the mistakes in a file. */
  readonly facts?: Readonly<Record<string, unknown>> | undefined;
}

/** Ends a command with a message and an exit code. */
export class CommandFailure extends Error {
  /**
   * @param report - report to print
   * @param exitCode - exit code of the process
   */
  constructor(
    readonly report: FailureReport,
    readonly exitCode: ExitCode,
  ) {
    super(report.message);
  }
}

const formatFact = (name: string, value: unknown): string[] =>
  Array.isArray(value)
    ? value.map((entry) => `  ${typeof entry === 'string' ? entry : JSON.stringify(entry)}`)
    : [`  ${name}: ${typeof value === 'string' ? value : JSON.stringify(value)}`];

/**
 * Formats a report as text.
 *
 * @param report - report to print
 * @returns lines of text
 */
export const formatFailure = (report: FailureReport): string => {
  const { code, number, message, hint, run, retryAfterSeconds, facts = {} } = report;
  return [
    `Error ${number === undefined ? code : `${number} ${code}`}: ${message}`,
    ...Object.entries(facts).flatMap(([name, value]) => formatFact(name, value)),
    ...(hint === undefined ? [] : [`Hint: ${hint}`]),
    ...(run === undefined ? [] : [`Outcome: ${run}`]),
    ...(retryAfterSeconds === undefined ? [] : [`Retry after: ${retryAfterSeconds} s`]),
  ].join('\n');
};
