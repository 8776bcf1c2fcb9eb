/** Where callers put keys, and how every such place is dropped. */
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

/** Headers of one connection, of the caller's choice of account, or of our own inner protocol. */
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
  // A compressed stream could not be read for its final event.
  'accept-encoding',
]);

/** Prefix of the keys that this system grants. */
const KEY_PREFIX = 'jl_';

const BEARER = /^bearer\s+/i;

/** Credentials that a request carries. */
export interface RequestCredentials {
  /** Keys in the places where a key is taken from; without repetitions. */
  readonly keys: readonly string[];
  /** Everything in the request that may be a key, wherever it stands. */
  readonly secrets: readonly string[];
}

const getHeaderValues = (headers: IncomingHttpHeaders, name: string): string[] =>
  [headers[name]].flat().filter((value) => value !== undefined && value !== '') as string[];

/**
 * Splits a request target.
 *
 * @param target - request target as the caller sent it
 * @returns path and query parameters
 */
export const splitRequestTarget = (target: string): { path: string; query: URLSearchParams } => {
  const mark = target.indexOf('?');
  if (mark < 0) return { path: target, query: new URLSearchParams() };
  return { path: target.slice(0, mark), query: new URLSearchParams(target.slice(mark + 1)) };
};

/**
 * Collects the credentials of a request.
 *
 * @param headers - headers as the caller sent them
 * @param target - request target as the caller sent it
 * @returns keys and further secrets
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
  const elsewhere = [
    ...credentialHeaders.flatMap((name) => getHeaderValues(headers, name)),
    ...credentialParameters.flatMap((name) => query.getAll(name)),
  ].flatMap((value) => value.split(/[\s;=,]+/).filter((part) => part.startsWith(KEY_PREFIX)));
  return { keys, secrets: [...new Set([...keys, ...elsewhere])] };
};

const containsSecret = (text: string, secrets: readonly string[]): boolean =>
  secrets.some((secret) => text.includes(secret));

/**
 * Decodes percent escapes where they are valid.
 *
 * @param text - text with or without escapes
 * @returns the text with each valid escape of an ASCII character decoded
 */
export const decodeValidEscapes = (text: string): string =>
  text.replace(/%([0-7][0-9a-f])/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );

/**
 * Drops credentials and headers that concern the caller's connection only.
 *
 * @param headers - headers as the caller sent them
 * @param secrets - credentials of the request
 * @returns headers that may be passed on
 */
export const stripHeaders = (
  headers: IncomingHttpHeaders,
  secrets: readonly string[],
): Record<string, string> => {
  const named = getHeaderValues(headers, 'connection').flatMap((value) =>
    value.split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept = Object.entries(headers).flatMap(([name, value]): [string, string][] => {
    const text = [value].flat().join(', ');
    if (strippedHeaders.has(name) || name.startsWith('jacinthlug-') || named.includes(name)) {
      return [];
    }
    const plain = decodeValidEscapes(text);
    if (containsSecret(text, secrets) || containsSecret(plain, secrets)) return [];
    // Header names are lower case by now, so a key in a name is compared in lower case.
    return secrets.some((secret) => name.includes(secret.toLowerCase())) ? [] : [[name, text]];
  });
  return Object.fromEntries(kept);
};

/**
 * Drops credentials from a request target.
 *
 * @param target - request target as the caller sent it
 * @param secrets - credentials of the request
 * @returns path with the remaining query
 */
export const stripRequestTarget = (target: string, secrets: readonly string[]): string => {
  const mark = target.indexOf('?');
  if (mark < 0) return target;
  const kept = target
    .slice(mark + 1)
    .split('&')
    .filter((parameter) => {
      const [name = '', value = ''] = [...new URLSearchParams(parameter)][0] ?? [];
      if (credentialParameters.includes(name.toLowerCase())) return false;
      const plain = decodeValidEscapes(parameter);
      return ![name, value, parameter, plain].some((text) => containsSecret(text, secrets));
    });
  const path = target.slice(0, mark);
  return kept.length === 0 ? path : `${path}?${kept.join('&')}`;
};
