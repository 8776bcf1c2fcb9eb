/** Filters the headers that are forwarded between caller and target. */
import type { IncomingHttpHeaders } from 'node:http';

/** Forwarded request headers. All others are removed, so that no credential reaches a target. */
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

/** Matches a caller's key in a header that should not contain one. */
const KEY_PATTERN = /jl_[^_\s]+_\S+/;

/** Response headers of the connection or the inner protocol, and those not meant for callers. */
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
 * Filters the request headers for the target.
 *
 * @param headers - headers received from the entry host
 * @returns the allowed headers, except those that contain a key
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
 * Filters the response headers for the caller.
 *
 * @param headers - headers received from the target
 * @returns the allowed headers
 */
export const filterResponseHeaders = (
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> => {
  const pairs = Object.entries(headers).filter(
    (pair): pair is [string, string | string[]] =>
      pair[1] !== undefined &&
      !REMOVED_RESPONSE_HEADERS.has(pair[0]) &&
      !pair[0].startsWith(INNER_HEADER_PREFIX),
  );
  return Object.fromEntries(pairs);
};
