/** Finds the credentials of requests and strips them from headers and request targets. */
import type { IncomingHttpHeaders } from 'node:http';
import { innerHeaders } from '@jacinthlug/protocol/headers';

const credentialHeaders = [
  'authorization',
  'x-api-key',
  'api-key',
  'cookie',
  'proxy-authorization',
];

const credentialParameters = ['key', 'api_key', 'access_token'];

/** Headers that are not forwarded: credentials, account, connection and inner protocol. */
const strippedHeaders: ReadonlySet<string> = new Set([
  ...credentialHeaders,
  ...Object.values(innerHeaders),
  'openai-organization',
  'openai-project',
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  // The final event of a compressed stream could not be read.
  'accept-encoding',
]);

/** Prefix of the keys granted by this system. */
const KEY_PREFIX = 'jl_';

const BEARER = /^bearer\s+/i;

/** Credentials of a request. */
export interface RequestCredentials {
  /** Distinct keys in the headers that are used for authentication. */
  readonly keys: readonly string[];
  /** All values in the request that may be keys, including those in other places. */
  readonly secrets: readonly string[];
}

const getHeaderValues = (headers: IncomingHttpHeaders, name: string): string[] =>
  [headers[name]].flat().filter((value) => value !== undefined && value !== '') as string[];

/**
 * Splits a request target into path and query.
 *
 * @param target - request target as the caller sent it
 * @returns path and query parameters
 */
export const splitRequestTarget = (target: string): { path: string; query: URLSearchParams } => {
  const queryStart = target.indexOf('?');
  if (queryStart < 0) return { path: target, query: new URLSearchParams() };
  return {
    path: target.slice(0, queryStart),
    query: new URLSearchParams(target.slice(queryStart + 1)),
  };
};

/**
 * Collects the credentials of a request.
 *
 * @param headers - headers as the caller sent them
 * @param target - request target as the caller sent it
 * @returns keys and other secrets
 */
export const findCredentials = (
  headers: IncomingHttpHeaders,
  target: string,
): RequestCredentials => {
  const bearer = getHeaderValues(headers, 'authorization')
    .filter((value) => BEARER.test(value))
    .map((value) => value.replace(BEARER, '').trim());
  const keys = [...new Set([...bearer, ...getHeaderValues(headers, 'x-api-key')])];
  const { query } = splitRequestTarget(target);
  const otherSecrets = [
    ...credentialHeaders.flatMap((name) => getHeaderValues(headers, name)),
    ...credentialParameters.flatMap((name) => query.getAll(name)),
  ].flatMap((value) => value.split(/[\s;=,]+/).filter((part) => part.startsWith(KEY_PREFIX)));
  return { keys, secrets: [...new Set([...keys, ...otherSecrets])] };
};

const containsSecret = (text: string, secrets: readonly string[]): boolean =>
  secrets.some((secret) => text.includes(secret));

/**
 * Decodes percent escapes of ASCII characters. Other escapes and invalid ones are kept.
 *
 * @param text - text that may contain escapes
 * @returns the decoded text
 */
export const decodeValidEscapes = (text: string): string =>
  text.replace(/%([0-7][0-9a-f])/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );

/**
 * Removes credentials and headers that apply only to the caller's connection.
 *
 * @param headers - headers as the caller sent them
 * @param secrets - credentials of the request
 * @returns headers that may be forwarded
 */
export const stripHeaders = (
  headers: IncomingHttpHeaders,
  secrets: readonly string[],
): Record<string, string> => {
  const connectionHeaders = getHeaderValues(headers, 'connection').flatMap((value) =>
    value.split(',').map((name) => name.trim().toLowerCase()),
  );
  const remaining = Object.entries(headers).flatMap(([name, value]): [string, string][] => {
    const text = [value].flat().join(', ');
    if (
      strippedHeaders.has(name) ||
      name.startsWith('jacinthlug-') ||
      connectionHeaders.includes(name)
    ) {
      return [];
    }
    const decoded = decodeValidEscapes(text);
    if (containsSecret(text, secrets) || containsSecret(decoded, secrets)) return [];
    // Header names are already in lower case, so a key in a name is compared in lower case.
    return secrets.some((secret) => name.includes(secret.toLowerCase())) ? [] : [[name, text]];
  });
  return Object.fromEntries(remaining);
};

/**
 * Removes credentials from a request target.
 *
 * @param target - request target as the caller sent it
 * @param secrets - credentials of the request
 * @returns path with the remaining query parameters
 */
export const stripRequestTarget = (target: string, secrets: readonly string[]): string => {
  const queryStart = target.indexOf('?');
  if (queryStart < 0) return target;
  const remaining = target
    .slice(queryStart + 1)
    .split('&')
    .filter((parameter) => {
      const [name = '', value = ''] = [...new URLSearchParams(parameter)][0] ?? [];
      if (credentialParameters.includes(name.toLowerCase())) return false;
      const decoded = decodeValidEscapes(parameter);
      return ![name, value, parameter, decoded].some((text) => containsSecret(text, secrets));
    });
  const path = target.slice(0, queryStart);
  return remaining.length === 0 ? path : `${path}?${remaining.join('&')}`;
};
