/** One HTTP exchange with a caller or an operator. */
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  ResolvedConfiguration,
  GrantedKey,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Request, Response } from '@tinyhttp/app';
import type { Result } from 'neverthrow';

/** One HTTP exchange. */
export interface Exchange {
  readonly request: Request;
  readonly response: Response;
  readonly requestId: string;
  /** Monotonic time (`performance.now()`) until which the answer must be whole. Unit: ms. */
  readonly deadline: number;
  /** Aborted when the caller goes away. */
  readonly callerGone: AbortSignal;
}

/** A caller whose key was granted when the request arrived. */
export interface Caller {
  readonly key: GrantedKey;
  readonly configuration: ResolvedConfiguration;
}

/** Handles a request of an authenticated caller; a refusal is rendered by the server. */
export type CallerHandler = (exchange: Exchange, caller: Caller) => Promise<Result<void, Refusal>>;

/** Handles a request of an authenticated operator; a refusal is rendered by the server. */
export type OperatorHandler = (exchange: Exchange) => Promise<Result<void, Refusal>>;

/** A method and path with its handler. The path is a tinyhttp pattern, such as `/v1/batches/:id`. */
export interface Endpoint<Handler> {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly handle: Handler;
}
