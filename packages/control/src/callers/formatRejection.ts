/** Responses to what callers send in place of a request that can be handled. */
import { STATUS_CODES } from 'node:http';

/** Status codes by what is rejected. */
export const rejectionStatuses = {
  'invalid request': 400,
  'late request': 408,
  'oversized chunk extensions': 413,
  'unknown expectation': 417,
  'oversized head': 431,
  'request to connect': 501,
  /** A part of a request that has not arrived completely when its host stops; another host can take it. */
  'partial request': 503,
} as const;

/** What is rejected. */
export type Rejection = keyof typeof rejectionStatuses;

/**
 * Formats a response that closes its connection.
 *
 * @param rejection - what is rejected
 * @returns the response, without a body
 */
export const formatRejection = (rejection: Rejection): string => {
  const status = rejectionStatuses[rejection];
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;
};
