/** Reads and checks an HTTP request of a caller. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type {
  Account,
  ResolvedConfiguration,
  GrantedKey,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import { checkBodyAccount, checkBodyHasNoKey } from '../access/checkBody.js';
import {
  findCredentials,
  splitRequestTarget,
  stripHeaders,
  stripRequestTarget,
} from '../access/credentials.js';
import { findIdentities } from '../claims/findIdentities.js';
import type { Exchange } from '../http/Exchange.js';
import { parseJsonBody, readBody } from '../http/readBody.js';
import { hashParts, type OnlineRequest } from './OnlineRequest.js';

/** Policy for a request, determined by its path and key. */
export interface RequestPolicy {
  readonly route: string;
  readonly repeatable: boolean;
  readonly identityField?: string | undefined;
  readonly maxBodyBytes: number;
  readonly timeLimitMs: number;
  readonly waitLimitMs: number;
  /** Absent on open routes. */
  readonly key?: GrantedKey;
}

/** Destination of a request, determined by its route or body. */
export interface Destination {
  readonly service: string;
  readonly model?: string;
  readonly promptPrefix?: string;
}

/** Finds the destination of a request by its parsed body. Called after the body was checked. */
export type FindDestination = (json: unknown) => Result<Destination, Refusal>;

/** Checks whether a configuration still allows a request, apart from its key. */
export type StillServedCheck = (
  configuration: ResolvedConfiguration,
  request: Destination,
) => boolean;

const checkBody = (
  body: Buffer,
  json: unknown,
  secrets: readonly string[],
  account: Account | undefined,
  configuration: ResolvedConfiguration,
): Result<void, Refusal> =>
  checkBodyHasNoKey(body, secrets).andThen(() =>
    account ? checkBodyAccount(json, account, configuration) : ok(undefined),
  );

const createAllowedCheck =
  (
    follower: ConfigurationFollower,
    key: GrantedKey | undefined,
    destination: Destination,
    isStillServed: StillServedCheck,
  ) =>
  (): Result<ResolvedConfiguration, Refusal> =>
    follower.inForce().andThen((configuration) => {
      const currentKey = key && configuration.findKeyById(key.id);
      if (key && currentKey?.account.name !== key.account.name) return err(refuse('key-unknown'));
      return isStillServed(configuration, destination)
        ? ok(configuration)
        : err(refuse('route-unknown'));
    });

/**
 * Reads and checks a request whose key was already checked.
 *
 * @param exchange - exchange with the caller
 * @param follower - provides the configuration
 * @param policy - policy for the request
 * @param findDestination - finds the destination by the body
 * @param isStillServed - checks the route against a later configuration
 * @returns the request, or the refusal
 */
export const readRequest = async (
  exchange: Exchange,
  follower: ConfigurationFollower,
  policy: RequestPolicy,
  findDestination: FindDestination,
  isStillServed: StillServedCheck,
): Promise<Result<OnlineRequest, Refusal>> => {
  const arrivedAt = performance.now();
  const deadline = arrivedAt + policy.timeLimitMs;
  const wallDeadline = Date.now() + policy.timeLimitMs;
  const { request, requestId } = exchange;
  const { headers, method = 'GET' } = request;
  const requestTarget = request.originalUrl ?? request.url ?? '/';
  const account = policy.key?.account;
  const read = await readBody(
    { ...exchange, deadline },
    { limitBytes: policy.maxBodyBytes, account: account?.name },
  );
  if (read.isErr()) return err(read.error);
  const body = read.value.content;
  const json = parseJsonBody(body).unwrapOr(undefined);
  const { secrets } = findCredentials(headers, requestTarget);
  const path = stripRequestTarget(requestTarget, secrets);
  const inForce = follower.inForce();
  if (inForce.isErr()) return err(inForce.error);
  const checked = checkBody(body, json, secrets, account, inForce.value);
  if (checked.isErr()) return err(checked.error);
  const identities = findIdentities({
    account: account?.name ?? '',
    path: splitRequestTarget(requestTarget).path,
    json,
    identityField: policy.identityField,
    idempotencyKey: [headers['idempotency-key']].flat()[0],
  });
  if (identities.isErr()) return err(identities.error);
  return findDestination(json).map((destination) => ({
    requestId,
    fingerprint: hashParts(account?.name ?? '', method, path, body),
    method,
    path,
    headers: stripHeaders(headers, secrets),
    body,
    ...destination,
    route: policy.route,
    repeatable: policy.repeatable,
    identities: identities.value,
    ...(policy.key && { account: policy.key.account, keyId: policy.key.id }),
    deadline,
    wallDeadline,
    waitLimitMs: policy.waitLimitMs,
    checkAllowed: createAllowedCheck(follower, policy.key, destination, isStillServed),
  }));
};
