/** HTTP client of an entry host. */
import type { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, errAsync, ok, okAsync, ResultAsync, type Result } from 'neverthrow';
import { request, type Dispatcher, type FormData } from 'undici';
import type { z } from 'zod';
import {
  isPermanentRefusal,
  isOutcomeUnknown,
  classifyCallError,
  parseErrorResponse,
  toCommandFailure,
  type CallFailure,
} from './callFailures.js';
import type { CommandFailure, FailureReport } from './CommandFailure.js';

/** URL, credential and deadline of the calls to an entry host. */
export interface EntryHostClientOptions {
  readonly url: string;
  /** Operator credential or key, sent as a bearer token; undefined for calls that need none. */
  readonly bearer?: string | undefined;
  /** Monotonic time (`performance.now()`) at which calls are aborted. Unit: ms. */
  readonly deadline: number;
}

/** A call that changes something. Its body or headers make it idempotent, so it can be retried. */
export interface WriteCall<Schema extends z.ZodType> {
  /** Path and query string. */
  readonly path: string;
  /** JSON object or multipart form. */
  readonly body: Readonly<Record<string, unknown>> | FormData;
  readonly headers?: Readonly<Record<string, string>>;
  readonly schema: Schema;
  /** Flags with which another run of the command retries the same call. */
  readonly retryFlags: string;
  /** Whether `body` is a multipart form. */
  readonly isForm?: boolean;
}

/** Timeout for one attempt of a call that is retried. Unit: ms. */
const ATTEMPT_TIMEOUT_MS = 10_000;

/** The delay between attempts doubles from the initial to the maximum value. Unit: ms. */
const INITIAL_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 4_000;

const retryDelay = (attempt: number, failure: CallFailure): number => {
  const maxDelayMs = Math.min(INITIAL_RETRY_DELAY_MS * 2 ** attempt, MAX_RETRY_DELAY_MS);
  const retryAfterMs =
    failure.kind === 'refused' ? (failure.report.retryAfterSeconds ?? 0) * 1000 : 0;
  return Math.max(maxDelayMs * (0.5 + Math.random() / 2), retryAfterMs);
};

const addRetryHint = (report: FailureReport, retryFlags: string): FailureReport => ({
  ...report,
  hint: `To retry, run the command again with ${retryFlags}; it takes effect only once.`,
});

/** Returns the value of a result, or throws its error, because oclif ends a command only on an exception. */
const unwrap = <Value>(result: Result<Value, CommandFailure>): Value => {
  if (result.isErr()) throw result.error;
  return result.value;
};

/** HTTP client of an entry host. */
export class EntryHostClient {
  private readonly baseUrl: string;

  /**
   * @param options - URL, credential and deadline
   */
  constructor(private readonly options: EntryHostClientOptions) {
    this.baseUrl = options.url.replace(/\/+$/, '');
  }

  /**
   * Reads a JSON value.
   *
   * @param path - path and query string
   * @param schema - schema of the response
   * @returns the value
   */
  async read<Schema extends z.ZodType>(path: string, schema: Schema): Promise<z.output<Schema>> {
    const result = await this.callJson(path, { method: 'GET' }, schema, this.remainingMs());
    return unwrap(result.mapErr((failure) => toCommandFailure(failure, false)));
  }

  /**
   * Requests a resource and returns its body as a stream.
   *
   * @param path - path and query string
   * @returns the stream; it emits an error when the response is truncated
   */
  async openStream(path: string): Promise<Readable> {
    const result = await this.send(path, { method: 'GET' }, this.remainingMs());
    const response = unwrap(result.mapErr((failure) => toCommandFailure(failure, false)));
    return response.body;
  }

  /**
   * Sends a call that changes something. Retries it while its outcome is unknown and the deadline
   * allows.
   *
   * @param call - the call
   * @returns the response
   */
  async write<Schema extends z.ZodType>(call: WriteCall<Schema>): Promise<z.output<Schema>> {
    return unwrap(await this.writeWithRetries(call));
  }

  private async writeWithRetries<Schema extends z.ZodType>(
    call: WriteCall<Schema>,
  ): Promise<Result<z.output<Schema>, CommandFailure>> {
    let uncertain: CallFailure | undefined;
    for (let attempt = 0; ; attempt += 1) {
      const result = await this.attemptWrite(call);
      if (result.isOk()) return ok(result.value);
      const failure = result.error;
      if (isOutcomeUnknown(failure)) uncertain = failure;
      if (!uncertain || isPermanentRefusal(failure)) return err(toCommandFailure(failure, true));
      const delayMs = retryDelay(attempt, failure);
      if (delayMs >= this.remainingMs()) {
        const commandFailure = toCommandFailure(uncertain, true);
        return err(
          Object.assign(commandFailure, {
            report: addRetryHint(commandFailure.report, call.retryFlags),
          }),
        );
      }
      await sleep(delayMs);
    }
  }

  private attemptWrite<Schema extends z.ZodType>({
    path,
    body,
    headers = {},
    schema,
    isForm = false,
  }: WriteCall<Schema>): ResultAsync<z.output<Schema>, CallFailure> {
    const content = isForm
      ? { body: body as FormData, headers }
      : { body: JSON.stringify(body), headers: { ...headers, 'content-type': 'application/json' } };
    const timeoutMs = isForm
      ? this.remainingMs()
      : Math.min(this.remainingMs(), ATTEMPT_TIMEOUT_MS);
    return this.callJson(path, { method: 'POST', ...content }, schema, timeoutMs);
  }

  private callJson<Schema extends z.ZodType>(
    path: string,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'body' | 'headers'>,
    schema: Schema,
    timeoutMs: number,
  ): ResultAsync<z.output<Schema>, CallFailure> {
    return this.send(path, options, timeoutMs)
      .andThen(({ body }) => ResultAsync.fromPromise(body.json(), classifyCallError))
      .andThen((value): Result<z.output<Schema>, CallFailure> => {
        const parsed = schema.safeParse(value);
        return parsed.success
          ? ok(parsed.data)
          : err({ kind: 'unanswered', message: `unexpected response from ${path}` });
      });
  }

  private send(
    path: string,
    { headers, ...options }: Pick<Dispatcher.RequestOptions, 'method' | 'body' | 'headers'>,
    timeoutMs: number,
  ): ResultAsync<Dispatcher.ResponseData, CallFailure> {
    const responsePromise = request(`${this.baseUrl}${path}`, {
      ...options,
      headers: {
        ...(headers as Record<string, string> | undefined),
        ...(this.options.bearer !== undefined && {
          authorization: `Bearer ${this.options.bearer}`,
        }),
      },
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))),
    });
    return ResultAsync.fromPromise(responsePromise, classifyCallError).andThen((response) => {
      if (response.statusCode < 300) return okAsync(response);
      return ResultAsync.fromPromise(response.body.text(), classifyCallError).andThen((text) =>
        errAsync(parseErrorResponse(response.statusCode, text)),
      );
    });
  }

  private remainingMs(): number {
    return this.options.deadline - performance.now();
  }
}
