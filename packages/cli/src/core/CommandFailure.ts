/** A failure that ends a command with a message and an exit code. */
import type { RunState } from '@jacinthlug/catalog/resultCodes';
import type { ExitCode } from './exitCodes.js';

/** What a failed command prints. */
export interface FailureReport {
  /** Result code of the server, or a name of the command line's own. */
  readonly code: string;
  /** Number of the result code; absent for names of the command line's own. */
  readonly number?: number | undefined;
  readonly message: string;
  readonly hint?: string | undefined;
  /** What is known about the call. */
  readonly run?: RunState | undefined;
  readonly retryAfterSeconds?: number | undefined;
  /** Further facts, such as the mistakes in a file. */
  readonly facts?: Readonly<Record<string, unknown>> | undefined;
}

/** Ends a command with a message and an exit code. */
export class CommandFailure extends Error {
  /**
   * @param report - what is printed
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
 * Formats a failure for people.
 *
 * @param report - what is printed
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
