/** The data path to agents: one attempt over undici. */
import { innerHeaders, RUN_PATH } from '@jacinthlug/protocol/headers';
import { Agent } from 'undici';
import type { OnlineRequest } from '../online/OnlineRequest.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import type { AttemptOptions } from './AttemptOptions.js';
import { classifyFault, readResponse } from './readResponse.js';
import { SendState, trackSendState } from './SendState.js';

/** Longest time to open a connection to an agent. Unit: ms. */
const CONNECT_TIMEOUT_MS = 500;

const createRequestHeaders = (
  request: OnlineRequest,
  terms: AttemptOptions,
  fleetCredential: string,
): Record<string, string> => ({
  ...request.headers,
  [innerHeaders.fleet]: fleetCredential,
  [innerHeaders.request]: request.requestId,
  ...(request.account && { [innerHeaders.account]: request.account.name }),
  ...(request.keyId !== undefined && { [innerHeaders.key]: request.keyId }),
  [innerHeaders.service]: request.service,
  [innerHeaders.route]: request.route,
  [innerHeaders.repeatable]: String(request.repeatable),
  [innerHeaders.version]: String(terms.version),
  ...(terms.permit && {
    [innerHeaders.generation]: String(terms.permit.generation),
    [innerHeaders.shard]: String(terms.permit.shard),
  }),
  [innerHeaders.remainingMs]: String(Math.max(1, Math.floor(request.deadline - performance.now()))),
  [innerHeaders.waitLimitMs]: String(request.waitLimitMs),
  [innerHeaders.fingerprint]: request.fingerprint,
  [innerHeaders.suspect]: String(terms.isSuspect),
  [innerHeaders.method]: request.method,
  [innerHeaders.path]: request.path,
});

/** Connections to the agents. */
export class DataPath {
  private readonly connections = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
    keepAliveTimeout: 10_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  private readonly dispatcher = this.connections.compose(trackSendState);

  /** @param fleetCredential - credential to show to agents */
  constructor(private readonly fleetCredential: string) {}

  /**
   * Sends a request to an agent once.
   *
   * @param request - the request
   * @param terms - agent and terms of this attempt
   * @returns what became of it; never throws
   */
  async runAttempt(request: OnlineRequest, terms: AttemptOptions): Promise<AttemptOutcome> {
    const sending = new SendState(request);
    try {
      const response = await this.dispatcher.request<SendState>({
        origin: `http://${terms.address}`,
        path: RUN_PATH,
        method: 'POST',
        headers: createRequestHeaders(request, terms, this.fleetCredential),
        body: request.body,
        idempotent: false,
        opaque: sending,
        signal: terms.signal,
      });
      return await readResponse(request, terms, response);
    } catch (fault) {
      return classifyFault(fault, terms.signal, sending);
    }
  }

  /** Closes the connections at once. */
  async close(): Promise<void> {
    await this.connections.destroy();
  }
}
