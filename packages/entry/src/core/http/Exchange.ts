/** Types of HTTP exchanges with callers and operators. */
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import type {
  ResolvedConfiguration,
  GrantedKey,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Request, Response } from '@tinyhttp/app';
import type { Result } from 'neverthrow';

/** One HTTP request and its response. */
export interface Exchange {
  readonly request: Request;
  readonly response: Response;
  readonly requestId: string;
  /** Memory for the bodies of all exchanges. */
  readonly bodies: BodyBudget;
  /** Monotonic time (`performance.now()`) by which the response must be complete. Unit: ms. */
  readonly deadline: number;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/** A caller whose key was valid when the request arrived, and the configuration in force at that time. */
export interface Caller {
  readonly key: GrantedKey;
  readonly configuration: ResolvedConfiguration;
}

/** Handles a request of an authenticated caller. The server writes the returned refusal. */
export type CallerHandler = (exchange: Exchange, caller: Caller) => Promise<Result<void, Refusal>>;

/** Handles a request of an authenticated operator. The server writes the returned refusal. */
export type OperatorHandler = (exchange: Exchange) => Promise<Result<void, Refusal>>;

/** A handler and the method and path it serves. The path is a tinyhttp pattern, such as `/v1/batches/:id`. */
export interface Endpoint<Handler> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly handle: Handler;
}
