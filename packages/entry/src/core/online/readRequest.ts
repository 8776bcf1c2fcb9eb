/** Turns an HTTP request into a checked online request. */
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

/** What the path of a request decides. */
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

/** What the body of a request decides. */
export interface Destination {
  readonly service: string;
  readonly model?: string;
  readonly promptPrefix?: string;
}

/** Finds the destination from the parsed body; it is called after the checks of the body. */
export type FindDestination = (json: unknown) => Result<Destination, Refusal>;

/** Checks, beyond the key, that a request is still allowed by a version of the configuration. */
export type StillServedCheck = (catalogue: ResolvedConfiguration, request: Destination) => boolean;

const checkBody = (
  body: Buffer,
  json: unknown,
  secrets: readonly string[],
  account: Account | undefined,
  catalogue: ResolvedConfiguration,
): Result<void, Refusal> =>
  checkBodyHasNoKey(body, secrets).andThen(() =>
    account ? checkBodyAccount(json, account, catalogue) : ok(undefined),
  );

const createAllowedCheck =
  (
    follower: ConfigurationFollower,
    key: GrantedKey | undefined,
    destination: Destination,
    stillServed: StillServedCheck,
  ) =>
  (): Result<ResolvedConfiguration, Refusal> =>
    follower.inForce().andThen((catalogue) => {
      const granted = key && catalogue.findKeyById(key.id);
      if (key && granted?.account.name !== key.account.name) return err(refuse('key-unknown'));
      return stillServed(catalogue, destination) ? ok(catalogue) : err(refuse('route-unknown'));
    });

/**
 * Reads and checks a request whose key was checked.
 *
 * @param exchange - exchange with the caller
 * @param follower - configuration
 * @param terms - what its path decides
 * @param findDestination - finds the service
 * @param stillServed - checks the path against a later configuration
 * @returns the request, or why it is refused
 */
export const readRequest = async (
  exchange: Exchange,
  follower: ConfigurationFollower,
  terms: RequestPolicy,
  findDestination: FindDestination,
  stillServed: StillServedCheck,
): Promise<Result<OnlineRequest, Refusal>> => {
  const arrivedAt = performance.now();
  const deadline = arrivedAt + terms.timeLimitMs;
  const wallDeadline = Date.now() + terms.timeLimitMs;
  const { request, requestId } = exchange;
  const { headers, method = 'GET' } = request;
  const target = request.originalUrl ?? request.url ?? '/';
  const read = await readBody(request, terms.maxBodyBytes, deadline);
  if (read.isErr()) return err(read.error);
  const body = read.value;
  const json = parseJsonBody(body).unwrapOr(undefined);
  const { secrets } = findCredentials(headers, target);
  const account = terms.key?.account;
  const path = stripRequestTarget(target, secrets);
  const inForce = follower.inForce();
  if (inForce.isErr()) return err(inForce.error);
  const checked = checkBody(body, json, secrets, account, inForce.value);
  if (checked.isErr()) return err(checked.error);
  const identities = findIdentities({
    account: account?.name ?? '',
    path: splitRequestTarget(target).path,
    json,
    identityField: terms.identityField,
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
    route: terms.route,
    repeatable: terms.repeatable,
    identities: identities.value,
    ...(terms.key && { account: terms.key.account, keyId: terms.key.id }),
    deadline,
    wallDeadline,
    waitLimitMs: terms.waitLimitMs,
    confirm: createAllowedCheck(follower, terms.key, destination, stillServed),
  }));
};
