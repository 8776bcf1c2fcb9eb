/** A request in progress. */
import type { IncomingMessage } from 'node:http';
import type { Account, Route } from '../configuration/ServingConfiguration.js';
import type { CallerHead } from '../http/Dialect.js';
import type { AllowedRegions } from '../routing/allowedRegions.js';
import type { CallerResponse } from './CallerResponse.js';
import type { RequestLifetime } from './RequestLifetime.js';

/** A request with its route, account and state. */
export interface OnlineRequest {
  readonly message: IncomingMessage;
  readonly head: CallerHead;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: string;
  /** Regions in which it may run; undefined if any will do. */
  readonly allowedRegions: AllowedRegions | undefined;
  readonly body: Buffer;
  /** Identify the content that may crash targets, see {@link computeContentKeys}. */
  readonly contentKeys: readonly string[];
  readonly lifetime: RequestLifetime;
  readonly callerResponse: CallerResponse;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Key of its stream, if callers may take it up again. */
  readonly streamKey: string | undefined;
  readonly arrivedAt: number;
}
