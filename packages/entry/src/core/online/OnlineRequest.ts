/** An online request that passed all checks before forwarding. */
import { createHash } from 'node:crypto';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  Account,
  ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Result } from 'neverthrow';

/** A request that was authenticated, stripped of credentials and read completely. */
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
  /** Name of the route; `openai` on the OpenAI-compatible paths. */
  readonly route: string;
  /** Model that the target must serve; absent on plain services. */
  readonly model?: string;
  /** Hash of the model and the start of the prompt, for affinity to a target that has it in its cache. */
  readonly promptPrefix?: string;
  /** Whether the request may safely run more than once. */
  readonly repeatable: boolean;
  /** Identities that identify repeated requests; the request runs at most once for each. May be empty. */
  readonly identities: readonly Identity[];
  /** Absent on open routes. */
  readonly account?: Account;
  /** Absent on open routes. */
  readonly keyId?: string;
  /** Monotonic time by which the response must be complete. Unit: ms. */
  readonly deadline: number;
  /**
   * Wall-clock time of the same deadline. The monotonic clock of Linux stops while a host is suspended, so
   * only this clock keeps an expired request from being forwarded afterwards. Unit: ms since 1970.
   */
  readonly wallDeadline: number;
  /** Maximum time that the request may wait in the queue of the target. Unit: ms. */
  readonly waitLimitMs: number;
  /**
   * Checks whether the request is still allowed: its key, route and service are valid in the configuration in
   * force.
   *
   * @returns the configuration in force, or the refusal
   */
  readonly checkAllowed: () => Result<ResolvedConfiguration, Refusal>;
}

/** Identity of a request. Requests with an equal identity count as the same request. */
export interface Identity {
  readonly kind: 'field' | 'header';
  /** Hash of scope and value, used in the row of the claim. */
  readonly hash: string;
}

/**
 * Hashes a list of parts. Lengths are included, so that different lists never have the same hash input.
 *
 * @param parts - texts or bytes
 * @returns SHA-256 in hexadecimal
 */
export const hashParts = (...parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256');
  parts.forEach((part) => hash.update(`${Buffer.byteLength(part)}:`).update(part));
  return hash.digest('hex');
};

/**
 * Checks whether a request may still be forwarded.
 *
 * @param request - the request
 * @returns whether its deadline is in the future by both clocks
 */
export const isBeforeDeadline = (
  request: Pick<OnlineRequest, 'deadline' | 'wallDeadline'>,
): boolean => performance.now() < request.deadline && Date.now() < request.wallDeadline;
