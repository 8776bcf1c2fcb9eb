/** Writes refusals to callers, and logs and counts them. */
import type { ServerResponse } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import {
  endRefusedRequest,
  mustCloseAfterRefusal,
} from '@jacinthlug/control/callers/endRefusedRequest';
import type { Dialect } from './Dialect.js';

/** Dependencies of {@link writeRefusal}. */
export interface RefusalDependencies {
  readonly dialect: Pick<Dialect, 'renderRetryAfter'>;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** A refusal and the request it responds to. */
export interface RefusedRequest {
  readonly requestId: string;
  readonly refusal: Refusal;
  /** What the decision was based on; logged. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/**
 * Responds to a request with a refusal.
 *
 * @param response - response to which nothing has been written
 * @param refused - the refusal
 * @param dependencies - log, metrics and headers
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
    ...(mustCloseAfterRefusal(response, refusal.code) && { connection: 'close' }),
    'content-length': Buffer.byteLength(content),
  });
  endRefusedRequest(response, content, refusal.code);
};
