/** A checked request on its way to a target. */
import { createHash } from 'node:crypto';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  Account,
  ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Result } from 'neverthrow';

/** A request that was authenticated, stripped of credentials and read whole. */
export interface OnlineRequest {
  readonly requestId: string;
  /** Hash of account, method, path and body. */
  readonly fingerprint: string;
  readonly method: string;
  /** Path and query, without credentials. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly service: string;
  /** Name of the route; `openai` for the OpenAI-compatible paths. */
  readonly route: string;
  /** Model that the target must serve; absent for plain services. */
  readonly model?: string;
  /** Start of the prompt, for affinity to a target that has it in its cache. */
  readonly promptPrefix?: string;
  /** Whether the request may run twice without harm. */
  readonly repeatable: boolean;
  /** Identities under which the request may run once; empty when it has none. */
  readonly identities: readonly Identity[];
  /** Absent on open routes. */
  readonly account?: Account;
  /** Absent on open routes. */
  readonly keyId?: string;
  /** Monotonic time until which the answer must be whole. Unit: ms. */
  readonly deadline: number;
  /**
   * Wall-clock time of the same deadline. The monotonic clock of Linux stands still while a host is
   * suspended; a request must not be forwarded after that. Unit: ms since 1970.
   */
  readonly wallDeadline: number;
  /** Time that the request may wait for the target. Unit: ms. */
  readonly waitLimitMs: number;
  /**
   * Checks that the request is still allowed: key, route and service are in force at this moment.
   *
   * @returns the configuration in force, or why the request may not run
   */
  readonly confirm: () => Result<ResolvedConfiguration, Refusal>;
}

/** What makes two requests the same one. */
export interface Identity {
  readonly kind: 'field' | 'header';
  /** Scope and value, hashed for the row of the claim. */
  readonly hash: string;
}

/**
 * Hashes parts so that no two lists of parts have the same input.
 *
 * @param parts - texts or bytes
 * @returns SHA-256 in hex
 */
export const hashParts = (...parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${Buffer.byteLength(part)}:`).update(part));
  return hash.digest('hex');
};

/**
 * Tells whether a request may still be forwarded.
 *
 * @param request - the request
 * @returns whether its deadline is ahead by both clocks
 */
export const isBeforeDeadline = (
  request: Pick<OnlineRequest, 'deadline' | 'wallDeadline'>,
): boolean => performance.now() < request.deadline && Date.now() < request.wallDeadline;
