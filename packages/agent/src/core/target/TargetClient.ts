/** Sends requests to the target, each of them at most once. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { isHttpStatus } from '@jacinthlug/protocol/httpStatus';
import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { TargetFailure } from '../TargetAccess.js';
import type { Crash, CrashDetector, InFlightRequest } from './CrashDetector.js';

/** A request to the target, with its id, cancellation and crash detection. */
export interface TargetCall {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string;
  /** Cancels the request at the target by closing its connection. */
  readonly signal: AbortSignal;
  /** Entry in the crash detector; the caller adds it before sending and removes it afterwards. */
  readonly inFlight: InFlightRequest;
}

/** A response whose headers have been received and whose request id matches. */
export interface OpenResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
}

/** Why there is no complete response; a crash includes the other requests in flight. */
export type RequestFailure =
  | Exclude<TargetFailure, { kind: 'crashed' }>
  | { readonly kind: 'crashed'; readonly message: string; readonly crash: Crash };

/** Error codes of connections that were not established, so no byte of the request was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const REQUEST_ID_HEADER = 'x-request-id';

const getErrorCode = (fault: unknown): string | undefined => (fault as { code?: string }).code;

const getErrorMessage = (fault: unknown): string =>
  fault instanceof Error ? fault.message : String(fault);

/** Sends requests to the target. */
export class TargetClient {
  private readonly origin: string;

  private readonly basePath: string;

  constructor(
    url: string,
    private readonly dispatcher: Dispatcher,
    private readonly crashDetector: CrashDetector,
    private readonly journal: Journal,
    private readonly onConnectionRefused: () => void,
  ) {
    const { origin, pathname } = new URL(url);
    this.origin = origin;
    this.basePath = pathname.replace(/\/$/, '');
  }

  /**
   * Sends a request and waits for the response headers.
   *
   * @param call - the request
   * @returns the response, with its body not yet read, or the failure
   */
  async send(call: TargetCall): Promise<Result<OpenResponse, RequestFailure>> {
    if (call.signal.aborted) return err({ kind: 'cancelled' });
    try {
      const response = await this.dispatcher.request({
        origin: this.origin,
        path: `${this.basePath}${call.path}`,
        method: call.method,
        headers: { ...call.headers, [REQUEST_ID_HEADER]: call.id },
        body: call.body.length === 0 ? null : call.body,
        signal: call.signal,
      });
      const { statusCode: status, headers, body } = response;
      if (!isHttpStatus(status)) {
        body.on('error', () => undefined).destroy();
        return err({ kind: 'failed', message: `invalid status ${status}` });
      }
      return this.checkRequestId(call, { status, headers, body });
    } catch (fault) {
      return err(await this.classifyError(fault, call));
    }
  }

  /**
   * Classifies an error of a request or of its response body.
   *
   * @param fault - the error that was thrown
   * @param call - the request
   * @returns the failure
   */
  async classifyError(fault: unknown, call: TargetCall): Promise<RequestFailure> {
    const message = getErrorMessage(fault);
    if (call.signal.aborted) return { kind: 'cancelled' };
    if (NOT_SENT_CODES.has(getErrorCode(fault) ?? '')) {
      this.onConnectionRefused();
      return { kind: 'not-sent', message };
    }
    const crash = await this.crashDetector.classifyDrop(call.inFlight);
    return crash ? { kind: 'crashed', message, crash } : { kind: 'failed', message };
  }

  private checkRequestId(
    call: TargetCall,
    response: OpenResponse,
  ): Result<OpenResponse, RequestFailure> {
    const echoed = response.headers[REQUEST_ID_HEADER];
    // If the target echoes no id, only the connection links the response to its request.
    if (echoed === undefined || echoed === call.id) return ok(response);
    response.body.on('error', () => undefined).destroy();
    this.journal.record('answer-mismatched', { request: call.id, answered: echoed });
    return err({ kind: 'failed', message: 'the response belongs to another request' });
  }
}
