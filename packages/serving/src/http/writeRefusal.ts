/** Writes refusals to callers, and the log line and counter of each. */
import type { ServerResponse } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Dialect } from './Dialect.js';

/** What writing a refusal needs. */
export interface RefusalDependencies {
  readonly dialect: Pick<Dialect, 'renderRetryAfter'>;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** A refusal with the request that it answers. */
export interface RefusedRequest {
  readonly requestId: string;
  readonly refusal: Refusal;
  /** What decided it, for the log. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/**
 * Answers a request with a refusal.
 *
 * @param response - response without anything written
 * @param refused - the refusal
 * @param needs - log, counters and headers
 */
export const writeRefusal = (
  response: ServerResponse,
  { requestId, refusal, facts }: RefusedRequest,
  { dialect, journal, metrics }: RefusalDependencies,
): void => {
  const { status, headers, body } = renderRefusal(refusal, requestId);
  const seconds = body.error.retryAfterSeconds;
  const content = JSON.stringify(body);
  metrics.count('requests.refused', { code: refusal.code });
  journal.record('request-refused', {
    request: requestId,
    code: refusal.code,
    status,
    run: body.error.run,
    ...(seconds !== undefined && { retryAfterSeconds: seconds }),
    ...facts,
  });
  if (response.headersSent || response.destroyed) return;
  response.writeHead(status, {
    ...headers,
    ...(seconds !== undefined && { 'retry-after': dialect.renderRetryAfter(seconds) }),
    'content-length': Buffer.byteLength(content),
  });
  response.end(content);
};
