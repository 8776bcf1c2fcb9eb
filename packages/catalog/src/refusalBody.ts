/** HTTP form of a refusal, compatible with the error object that OpenAI clients expect. */
import { resultCodes, type Refusal, type RunState } from './resultCodes.js';

/** Body of every refusal. */
export interface RefusalBody {
  readonly error: {
    readonly code: string;
    readonly number: number;
    readonly type: string;
    readonly message: string;
    readonly param: null;
    readonly hint: string;
    readonly run: RunState;
    readonly retryAfterSeconds?: number;
    readonly requestId?: string;
    readonly facts?: Readonly<Record<string, unknown>>;
  };
}

const errorTypesByStatus = new Map([
  [401, 'authentication_error'],
  [403, 'permission_error'],
  [404, 'not_found_error'],
  [429, 'rate_limit_error'],
]);

const getErrorType = (status: number): string =>
  errorTypesByStatus.get(status) ?? (status < 500 ? 'invalid_request_error' : 'server_error');

/** HTTP response of a refusal. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: RefusalBody;
}

/**
 * Renders a refusal for HTTP.
 *
 * @param refusal - the refusal
 * @param requestId - identifier of the request, for reports to the operator
 * @returns status, headers (with `retry-after` where the refusal has a retry time) and body
 */
export const renderRefusal = (refusal: Refusal, requestId?: string): RefusalResponse => {
  const entry = resultCodes[refusal.code];
  const retryAfterSeconds = refusal.retryAfterSeconds ?? entry.retryAfterSeconds;
  const message = refusal.detail ? `${entry.message} ${refusal.detail}` : entry.message;
  return {
    status: entry.status,
    headers: {
      'content-type': 'application/json',
      'jacinthlug-result': String(entry.number),
      ...(retryAfterSeconds === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(retryAfterSeconds)) }),
    },
    body: {
      error: {
        code: refusal.code,
        number: entry.number,
        type: getErrorType(entry.status),
        message,
        param: null,
        hint: entry.hint,
        run: refusal.run ?? entry.run,
        ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
        ...(requestId === undefined ? {} : { requestId }),
        ...(refusal.facts === undefined ? {} : { facts: refusal.facts }),
      },
    },
  };
};
