/** HTTP endpoint of the data path. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { matchesCredential } from '@jacinthlug/protocol/controlServer';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import type { LoadReporter } from '../lifecycle/LoadReporter.js';
import {
  refusalsBeforeSending,
  type ForwardedRequestHandler,
} from '../online/ForwardedRequestHandler.js';
import { RequestLifetime } from '../online/RequestLifetime.js';
import type { RunningRequests } from '../online/RunningRequests.js';
import { sendRefusal } from './sendRefusal.js';
import { parseInnerRequest } from './InnerRequest.js';
import { readBody } from './readBody.js';

/** Dependencies of the data path endpoint. */
export interface RunEndpointDependencies {
  readonly fleetCredential: string;
  readonly requestHandler: ForwardedRequestHandler;
  readonly running: RunningRequests;
  /** Memory for the bodies of all requests. */
  readonly bodies: BodyBudget;
  readonly loadReporter: LoadReporter;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Handles one request of the data path. */
export type RunEndpoint = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Creates the data path endpoint.
 *
 * @param dependencies - dependencies of the endpoint
 * @returns the handler; it never rejects
 */
export const createRunEndpoint = (dependencies: RunEndpointDependencies): RunEndpoint => {
  const { requestHandler, running, bodies, loadReporter, journal, metrics } = dependencies;

  const createProtocolHeaders = (id?: string): Record<string, string> => ({
    [innerHeaders.load]: JSON.stringify(loadReporter.report()),
    ...(id === undefined ? {} : { [innerHeaders.request]: id }),
  });

  const respondWithRefusal = (response: ServerResponse, refusal: Refusal, id?: string): void => {
    metrics.count('requests.refused', { code: refusal.code });
    journal.record('request-refused', { request: id, code: refusal.code });
    if (response.destroyed) return;
    // Otherwise the peer could send the next request on this connection just as it is closed.
    if (refusal.code === 'stopping') response.shouldKeepAlive = false;
    sendRefusal(response, refusal, createProtocolHeaders(id), id);
  };

  const handleRequest = async (
    lifetime: RequestLifetime,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const { signal } = lifetime;
    const { id, account } = lifetime.request;
    response.on('close', () => {
      if (!response.writableFinished) lifetime.abort('caller-gone');
    });
    const body = await readBody(request, { bodies, account, response, signal });
    if (body.isErr()) {
      respondWithRefusal(response, body.error, id);
      return;
    }
    if (!body.value) {
      const { abortReason = 'caller-gone' } = lifetime;
      if (abortReason !== 'caller-gone')
        respondWithRefusal(response, refusalsBeforeSending[abortReason], id);
      return;
    }
    const outcome = await requestHandler.handle({
      lifetime,
      headers: request.headers,
      body: body.value,
      response,
      createProtocolHeaders: () => createProtocolHeaders(id),
    });
    if (outcome.isErr()) respondWithRefusal(response, outcome.error, id);
  };

  const handleError = (
    lifetime: RequestLifetime,
    response: ServerResponse,
    fault: unknown,
  ): void => {
    // A connection that fails while its request is read is not a fault of this process.
    if (lifetime.abortReason === 'caller-gone') return;
    journal.record('unhandled-fault', { request: lifetime.request.id, err: fault });
    if (response.headersSent) response.destroy();
    else respondWithRefusal(response, refuse('internal-fault'), lifetime.request.id);
  };

  return async (request, response) => {
    if (!matchesCredential(request.headers[innerHeaders.fleet], dependencies.fleetCredential)) {
      respondWithRefusal(response, refuse('fleet-credential-wrong'));
      return;
    }
    const inner = parseInnerRequest(request.headers);
    if (inner.isErr()) {
      respondWithRefusal(response, inner.error);
      return;
    }
    const lifetime = new RequestLifetime(inner.value);
    running.add(lifetime);
    try {
      await handleRequest(lifetime, request, response);
    } catch (fault) {
      handleError(lifetime, response, fault);
    } finally {
      lifetime.close();
      running.remove(lifetime);
    }
  };
};
