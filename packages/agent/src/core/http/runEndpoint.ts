/** The data path endpoint: turns HTTP into exchanges for the online path. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { matchesCredential } from '@jacinthlug/protocol/controlServer';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import type { LoadReporter } from '../lifecycle/LoadReporter.js';
import type { ForwardedRequestHandler } from '../online/ForwardedRequestHandler.js';
import { RequestLifetime } from '../online/RequestLifetime.js';
import type { RunningRequests } from '../online/RunningRequests.js';
import { sendRefusal } from './sendRefusal.js';
import { parseInnerRequest } from './InnerRequest.js';
import { readBody } from './readBody.js';

/** What the data path endpoint needs. */
export interface RunEndpointDependencies {
  readonly fleetCredential: string;
  readonly requestHandler: ForwardedRequestHandler;
  readonly running: RunningRequests;
  readonly loadReporter: LoadReporter;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Handles one request of the data path. */
export type RunEndpoint = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/**
 * Builds the data path endpoint.
 *
 * @param parts - what it needs
 * @returns the handler; it never rejects
 */
export const createRunEndpoint = (parts: RunEndpointDependencies): RunEndpoint => {
  const { requestHandler: path, running, loadReporter: load, journal, metrics } = parts;

  const ownHeaders = (id?: string): Record<string, string> => ({
    [innerHeaders.load]: JSON.stringify(load.report()),
    ...(id === undefined ? {} : { [innerHeaders.request]: id }),
  });

  const answerWithRefusal = (response: ServerResponse, refusal: Refusal, id?: string): void => {
    metrics.count('requests.refused', { code: refusal.code });
    journal.record('request-refused', { request: id, code: refusal.code });
    if (response.destroyed) return;
    // A peer that kept the connection could send a request into it just when it is closed.
    if (refusal.code === 'stopping') response.shouldKeepAlive = false;
    sendRefusal(response, refusal, ownHeaders(id), id);
  };

  const runLife = async (
    life: RequestLifetime,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const { id } = life.request;
    response.on('close', () => {
      if (!response.writableFinished) life.abort('caller-gone');
    });
    const body = await readBody(request);
    if (body.isErr()) {
      answerWithRefusal(response, body.error, id);
      return;
    }
    const outcome = await path.handle({
      lifetime: life,
      headers: request.headers,
      body: body.value,
      response,
      createProtocolHeaders: () => ownHeaders(id),
    });
    if (outcome.isErr()) answerWithRefusal(response, outcome.error, id);
  };

  const failLife = (life: RequestLifetime, response: ServerResponse, fault: unknown): void => {
    // A connection that breaks while its request is read is no fault of this process.
    if (life.abortReason === 'caller-gone') return;
    journal.record('unhandled-fault', { request: life.request.id, err: fault });
    if (response.headersSent) response.destroy();
    else answerWithRefusal(response, refuse('internal-fault'), life.request.id);
  };

  return async (request, response) => {
    if (!matchesCredential(request.headers[innerHeaders.fleet], parts.fleetCredential)) {
      answerWithRefusal(response, refuse('fleet-credential-wrong'));
      return;
    }
    const inner = parseInnerRequest(request.headers);
    if (inner.isErr()) {
      answerWithRefusal(response, inner.error);
      return;
    }
    const life = new RequestLifetime(inner.value);
    running.add(life);
    try {
      await runLife(life, request, response);
    } catch (fault) {
      failLife(life, response, fault);
    } finally {
      life.close();
      running.remove(life);
    }
  };
};
