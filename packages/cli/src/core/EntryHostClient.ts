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

/** Where an entry host is and how to sign in. */
export interface EntryHostClientOptions {
  readonly url: string;
  /** Operator credential or key, sent as bearer token. */
  readonly bearer: string;
  /** Monotonic time (`performance.now()`) after which calls are given up. Unit: ms. */
  readonly deadline: number;
}

/** A call that changes something. Its body or headers make a repeat take effect once. */
export interface WriteCall<Schema extends z.ZodType> {
  /** Path and query. */
  readonly path: string;
  /** JSON value or multipart form. */
  readonly body: Readonly<Record<string, unknown>> | FormData;
  readonly headers?: Readonly<Record<string, string>>;
  readonly schema: Schema;
  /** Flags with which the same call can be made again by another run of the command. */
  readonly retryFlags: string;
  /** Whether `body` is a form. */
  readonly isForm?: boolean;
}

/** Time limit of one attempt of a call that is repeated. Unit: ms. */
const ATTEMPT_TIMEOUT_MS = 10_000;

/** Pauses between attempts double from the first to the longest. */
const INITIAL_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 4_000;

const retryDelay = (attempt: number, failure: CallFailure): number => {
  const longest = Math.min(INITIAL_RETRY_DELAY_MS * 2 ** attempt, MAX_RETRY_DELAY_MS);
  const asked = failure.kind === 'refused' ? (failure.report.retryAfterSeconds ?? 0) * 1000 : 0;
  return Math.max(longest * (0.5 + Math.random() / 2), asked);
};

const addRetryHint = (report: FailureReport, repeatFlags: string): FailureReport => ({
  ...report,
  hint: `Run the command again with ${repeatFlags}; it takes effect once.`,
});

/** Ends the command with an exception, the only way that oclif knows. */
const unwrap = <Value>(result: Result<Value, CommandFailure>): Value => {
  if (result.isErr()) throw result.error;
  return result.value;
};

/** HTTP client of an entry host. */
export class EntryHostClient {
  private readonly baseUrl: string;

  /**
   * @param options - where the entry host is and how to sign in
   */
  constructor(private readonly options: EntryHostClientOptions) {
    this.baseUrl = options.url.replace(/\/+$/, '');
  }

  /**
   * Reads a JSON value.
   *
   * @param path - path and query
   * @param schema - schema of the answer
   * @returns the value
   */
  async read<Schema extends z.ZodType>(path: string, schema: Schema): Promise<z.output<Schema>> {
    const result = await this.callJson(path, { method: 'GET' }, schema, this.remainingMs());
    return unwrap(result.mapErr((failure) => toCommandFailure(failure, false)));
  }

  /**
   * Opens a body for reading as a stream.
   *
   * @param path - path and query
   * @returns the stream; it errors when the answer is cut
   */
  async openStream(path: string): Promise<Readable> {
    const result = await this.send(path, { method: 'GET' }, this.remainingMs());
    const answer = unwrap(result.mapErr((failure) => toCommandFailure(failure, false)));
    return answer.body;
  }

  /**
   * Changes something; repeats the same call while its outcome is unknown and the deadline allows.
   *
   * @param call - the call
   * @returns the answer
   */
  async write<Schema extends z.ZodType>(call: WriteCall<Schema>): Promise<z.output<Schema>> {
    return unwrap(await this.writeWithRetries(call));
  }

  private async writeWithRetries<Schema extends z.ZodType>(
    call: WriteCall<Schema>,
  ): Promise<Result<z.output<Schema>, CommandFailure>> {
    let unsettled: CallFailure | undefined;
    for (let attemptWrite = 0; ; attemptWrite += 1) {
      const result = await this.attempt(call);
      if (result.isOk()) return ok(result.value);
      const failure = result.error;
      if (isOutcomeUnknown(failure)) unsettled = failure;
      if (!unsettled || isPermanentRefusal(failure)) return err(toCommandFailure(failure, true));
      const pauseMs = retryDelay(attemptWrite, failure);
      if (pauseMs >= this.remainingMs()) {
        const ended = toCommandFailure(unsettled, true);
        return err(Object.assign(ended, { report: addRetryHint(ended.report, call.retryFlags) }));
      }
      await sleep(pauseMs);
    }
  }

  private attempt<Schema extends z.ZodType>({
    path,
    body,
    headers = {},
    schema,
    isForm = false,
  }: WriteCall<Schema>): ResultAsync<z.output<Schema>, CallFailure> {
    const content = isForm
      ? { body: body as FormData, headers }
      : { body: JSON.stringify(body), headers: { ...headers, 'content-type': 'application/json' } };
    const limitMs = isForm ? this.remainingMs() : Math.min(this.remainingMs(), ATTEMPT_TIMEOUT_MS);
    return this.callJson(path, { method: 'POST', ...content }, schema, limitMs);
  }

  private callJson<Schema extends z.ZodType>(
    path: string,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'body' | 'headers'>,
    schema: Schema,
    limitMs: number,
  ): ResultAsync<z.output<Schema>, CallFailure> {
    return this.send(path, options, limitMs)
      .andThen(({ body }) => ResultAsync.fromPromise(body.json(), classifyCallError))
      .andThen((value): Result<z.output<Schema>, CallFailure> => {
        const parsed = schema.safeParse(value);
        return parsed.success
          ? ok(parsed.data)
          : err({ kind: 'unanswered', message: `unexpected answer of ${path}` });
      });
  }

  private send(
    path: string,
    { headers, ...options }: Pick<Dispatcher.RequestOptions, 'method' | 'body' | 'headers'>,
    limitMs: number,
  ): ResultAsync<Dispatcher.ResponseData, CallFailure> {
    const sent = request(`${this.baseUrl}${path}`, {
      ...options,
      headers: {
        ...(headers as Record<string, string> | undefined),
        authorization: `Bearer ${this.options.bearer}`,
      },
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(limitMs))),
    });
    return ResultAsync.fromPromise(sent, classifyCallError).andThen((answer) => {
      if (answer.statusCode < 300) return okAsync(answer);
      return ResultAsync.fromPromise(answer.body.text(), classifyCallError).andThen((text) =>
        errAsync(parseErrorResponse(answer.statusCode, text)),
      );
    });
  }

  private remainingMs(): number {
    return this.options.deadline - performance.now();
  }
}
