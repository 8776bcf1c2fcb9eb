/** Which headers pass between caller and target. */
import type { IncomingHttpHeaders } from 'node:http';

/** Headers that a target may see. All others stay here, so that no credential reaches it. */
const FORWARDED_REQUEST_HEADERS = [
  'accept',
  'accept-language',
  'content-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-modified-since',
  'if-none-match',
  'if-unmodified-since',
  'traceparent',
  'tracestate',
];

/** A caller's key in a place where none belongs. */
const KEY_PATTERN = /jl_[^_\s]+_\S+/;

/** Headers of an answer that belong to the connection, to the inner protocol or to no caller. */
const REMOVED_RESPONSE_HEADERS = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-authenticate',
  'server',
  'set-cookie',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-request-id',
]);

const INNER_HEADER_PREFIX = 'jacinthlug-';

/**
 * Picks the headers that a target may see.
 *
 * @param headers - headers as received from the entry host
 * @returns the allowed ones, without any that holds a key
 */
export const filterRequestHeaders = (headers: IncomingHttpHeaders): Record<string, string> => {
  const pairs = FORWARDED_REQUEST_HEADERS.map((name) => [name, headers[name]] as const);
  const allowed = pairs.filter(
    (pair): pair is readonly [string, string] =>
      typeof pair[1] === 'string' && !KEY_PATTERN.test(pair[1]),
  );
  return Object.fromEntries(allowed);
};

/**
 * Picks the headers of an answer that a caller may see.
 *
 * @param headers - headers as received from the target
 * @returns the allowed ones
 */
export const filterResponseHeaders = (
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> => {
  const pairs = Object.entries(headers).filter(
    (pair): pair is [string, string | string[]] =>
      pair[1] !== undefined && !REMOVED_RESPONSE_HEADERS.has(pair[0]) && !pair[0].startsWith(INNER_HEADER_PREFIX),
  );
  return Object.fromEntries(pairs);
};
