/** Failures of calls to an entry host and their exit codes. */
import * as z from 'zod';
import { CommandFailure, type FailureReport } from './CommandFailure.js';
import { exitCodes, type ExitCode } from './exitCodes.js';

const errorBody = z.object({
  error: z.object({
    code: z.string(),
    number: z.int().optional(),
    message: z.string(),
    hint: z.string().optional(),
    run: z.enum(['not run', 'outcome unknown']).optional(),
    retryAfterSeconds: z.number().optional(),
    facts: z.record(z.string(), z.unknown()).optional(),
  }),
});

/** Why a call failed. */
export type CallFailure =
  /** The server responded with an error. */
  | { readonly kind: 'refused'; readonly status: number; readonly report: FailureReport }
  /** No connection was established; nothing was sent. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** No usable response; the call may have taken effect. */
  | { readonly kind: 'unanswered'; readonly message: string };

/** Statuses of refusals that a retry cannot change. */
const permanentRefusalStatuses: ReadonlySet<number> = new Set([400, 404, 409, 422]);

/** Codes of errors that occur before a connection is established. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Parses an error response of the server.
 *
 * @param status - HTTP status
 * @param text - body of the response
 * @returns the failure
 */
export const parseErrorResponse = (status: number, text: string): CallFailure => {
  const parsed = z
    .string()
    .transform((json, context): unknown => {
      try {
        return JSON.parse(json);
      } catch {
        context.addIssue('not JSON');
        return z.NEVER;
      }
    })
    .pipe(errorBody)
    .safeParse(text);
  if (parsed.success) return { kind: 'refused', status, report: parsed.data.error };
  const message = `The server responded with status ${status} and a body that is not a known error report.`;
  if (status >= 500) return { kind: 'unanswered', message };
  return { kind: 'refused', status, report: { code: `http-${status}`, message } };
};

/**
 * Classifies an exception of the HTTP client.
 *
 * @param error - the exception
 * @returns the failure
 */
export const classifyCallError = (error: unknown): CallFailure => {
  const { message, code = '', cause } = error as Error & { code?: string };
  const causeCode = (cause as { code?: string } | undefined)?.code ?? '';
  const text = message || code;
  return connectErrorCodes.has(code) || connectErrorCodes.has(causeCode)
    ? { kind: 'unreachable', message: text }
    : { kind: 'unanswered', message: text };
};

/**
 * Checks whether a failed call may have taken effect.
 *
 * @param failure - the failure
 * @returns whether the outcome is unknown
 */
export const isOutcomeUnknown = (failure: CallFailure): boolean =>
  failure.kind === 'unanswered' ||
  (failure.kind === 'refused' && failure.report.run === 'outcome unknown');

/**
 * Checks whether a refusal settles the outcome of a call whose earlier attempts have an unknown
 * outcome.
 *
 * @param failure - the failure of the latest attempt
 * @returns whether the refusal proves that no attempt took effect
 */
export const isPermanentRefusal = (failure: CallFailure): boolean =>
  failure.kind === 'refused' &&
  !isOutcomeUnknown(failure) &&
  permanentRefusalStatuses.has(failure.status);

/** Exit codes of refusals, by result code. */
const exitCodesByResult = new Map<string, ExitCode>([
  ['configuration-invalid', exitCodes.invalid],
  ['batch-invalid', exitCodes.invalid],
  ['configuration-conflict', exitCodes.conflict],
  ['operator-credential-wrong', exitCodes.unauthorized],
  ['key-missing', exitCodes.unauthorized],
  ['key-unknown', exitCodes.unauthorized],
]);

/** Exit codes of other refusals, by HTTP status. */
const exitCodesByStatus = new Map<number, ExitCode>([
  [401, exitCodes.unauthorized],
  [403, exitCodes.unauthorized],
  [429, exitCodes.unavailable],
]);

const getExitCode = (status: number, { code, run }: FailureReport): ExitCode => {
  if (run === 'outcome unknown') return exitCodes.unknown;
  const known = exitCodesByResult.get(code) ?? exitCodesByStatus.get(status);
  if (known !== undefined) return known;
  return status >= 500 ? exitCodes.unavailable : exitCodes.refused;
};

/**
 * Converts the failure of a call into the failure of the command.
 *
 * @param failure - the failure of the call
 * @param isWrite - whether the call changes anything
 * @returns the failure of the command, with its exit code
 */
export const toCommandFailure = (failure: CallFailure, isWrite: boolean): CommandFailure => {
  if (failure.kind === 'refused') {
    return new CommandFailure(failure.report, getExitCode(failure.status, failure.report));
  }
  const hint = 'Check the URL and the network, or use another entry host.';
  if (failure.kind === 'unreachable') {
    const report = { code: 'unreachable', message: failure.message, hint, run: 'not run' } as const;
    return new CommandFailure(report, exitCodes.unavailable);
  }
  // A read without a response has changed nothing.
  return isWrite
    ? new CommandFailure(
        { code: 'unanswered', message: failure.message, hint, run: 'outcome unknown' },
        exitCodes.unknown,
      )
    : new CommandFailure(
        { code: 'unanswered', message: failure.message, hint },
        exitCodes.unavailable,
      );
};
