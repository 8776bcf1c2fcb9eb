/** The data path to agents: one attempt over undici. */
import { innerHeaders, RUN_PATH } from '@jacinthlug/protocol/headers';
import { Agent } from 'undici';
import type { OnlineRequest } from '../online/OnlineRequest.js';
import type { Attempt } from './Attempt.js';
import type { AttemptTerms } from './AttemptTerms.js';
import { explainFault, readAnswer } from './readAnswer.js';
import { Sending, watchSending } from './Sending.js';

/** Longest time to open a connection to an agent. Unit: ms. */
const CONNECT_LIMIT_MS = 500;

const requestHeaders = (
  request: OnlineRequest,
  terms: AttemptTerms,
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
  [innerHeaders.suspect]: String(terms.suspect),
  [innerHeaders.method]: request.method,
  [innerHeaders.path]: request.path,
});

/** Connections to the agents. */
export class DataPath {
  private readonly connections = new Agent({
    connect: { timeout: CONNECT_LIMIT_MS },
    pipelining: 1,
    keepAliveTimeout: 10_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  private readonly dispatcher = this.connections.compose(watchSending);

  /** @param fleetCredential - credential to show to agents */
  constructor(private readonly fleetCredential: string) {}

  /**
   * Sends a request to an agent once.
   *
   * @param request - the request
   * @param terms - agent and terms of this attempt
   * @returns what became of it; never throws
   */
  async attempt(request: OnlineRequest, terms: AttemptTerms): Promise<Attempt> {
    const sending = new Sending(request);
    try {
      const response = await this.dispatcher.request<Sending>({
        origin: `http://${terms.address}`,
        path: RUN_PATH,
        method: 'POST',
        headers: requestHeaders(request, terms, this.fleetCredential),
        body: request.body,
        idempotent: false,
        opaque: sending,
        signal: terms.signal,
      });
      return await readAnswer(request, terms, response);
    } catch (fault) {
      return explainFault(fault, terms.signal, sending);
    }
  }

  /** Closes the connections at once. */
  async close(): Promise<void> {
    await this.connections.destroy();
  }
}
