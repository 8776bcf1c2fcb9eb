/** Sends requests to agents over HTTP with undici. */
import { innerHeaders, RUN_PATH } from '@jacinthlug/protocol/headers';
import { Agent } from 'undici';
import type { OnlineRequest } from '../online/OnlineRequest.js';
import type { AttemptOutcome } from './AttemptOutcome.js';
import type { AttemptOptions } from './AttemptOptions.js';
import { classifyFault, readResponse } from './readResponse.js';
import { SendState, trackSendState } from './SendState.js';

/** Timeout for connecting to an agent. Unit: ms. */
const CONNECT_TIMEOUT_MS = 500;

const createRequestHeaders = (
  request: OnlineRequest,
  options: AttemptOptions,
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
  [innerHeaders.version]: String(options.version),
  ...(options.permit && {
    [innerHeaders.generation]: String(options.permit.generation),
    [innerHeaders.shard]: String(options.permit.shard),
  }),
  [innerHeaders.remainingMs]: String(Math.max(1, Math.floor(request.deadline - performance.now()))),
  [innerHeaders.waitLimitMs]: String(request.waitLimitMs),
  [innerHeaders.fingerprint]: request.fingerprint,
  [innerHeaders.suspect]: String(options.isSuspect),
  [innerHeaders.method]: request.method,
  [innerHeaders.path]: request.path,
});

/** Connection pool to the agents. */
export class DataPath {
  private readonly connections = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
    keepAliveTimeout: 10_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  private readonly dispatcher = this.connections.compose(trackSendState);

  /** @param fleetCredential - credential that authenticates this host to agents */
  constructor(private readonly fleetCredential: string) {}

  /**
   * Makes one attempt to run a request at an agent.
   *
   * @param request - the request
   * @param options - address of the agent and options of this attempt
   * @returns the outcome; never throws
   */
  async runAttempt(request: OnlineRequest, options: AttemptOptions): Promise<AttemptOutcome> {
    const sendState = new SendState(request);
    try {
      const response = await this.dispatcher.request<SendState>({
        origin: `http://${options.address}`,
        path: RUN_PATH,
        method: 'POST',
        headers: createRequestHeaders(request, options, this.fleetCredential),
        body: request.body,
        idempotent: false,
        opaque: sendState,
        signal: options.signal,
      });
      return await readResponse(request, options, response);
    } catch (fault) {
      return classifyFault(fault, options.signal, sendState);
    }
  }

  /** Closes all connections immediately. */
  async close(): Promise<void> {
    await this.connections.destroy();
  }
}
