/** Stand-in of a model engine. */
import type { z } from 'zod';
import { TargetServer, type RequestContext, type TargetStandin } from '../target/TargetServer.js';
import { getCompletionTokens, chatRequest, joinMessages, type ChatRequest } from './chatRequest.js';
import { CompletionStream } from './CompletionStream.js';
import { ContinuousBatch } from './ContinuousBatch.js';
import { defaultEngineOptions, type EngineOptions } from './engineOptions.js';
import { modelOrder, LoadedModels } from './LoadedModels.js';
import { createTokenSource } from './createTokenSource.js';
import { PrefixCache } from './PrefixCache.js';

/** A prompt that contains this crashes the engine. */
export const CRASH_MARKER = '__crash__';

/** A prompt that contains this gets status 400. */
export const INVALID_REQUEST_MARKER = '__impossible__';

const STREAM_ACTION_PATH = /^\/v1\/streams\/([^/]+)\/(cancel|suspend|resume)$/;

const parseJson = <Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.output<Schema> | undefined => {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/** The engine behind its HTTP server. */
class Engine {
  readonly server: TargetServer;

  private readonly batch: ContinuousBatch;

  private readonly cache: PrefixCache;

  private readonly loadedModels: LoadedModels;

  private readonly streams = new Map<string, CompletionStream>();

  private startedCompletions = 0;

  private loadReport: object = {};

  private readonly reportTimer: NodeJS.Timeout;

  constructor(private readonly options: EngineOptions) {
    this.server = new TargetServer(options, (call) => this.handle(call));
    this.batch = new ContinuousBatch(options);
    this.cache = new PrefixCache(options.cacheTokens);
    this.loadedModels = new LoadedModels(
      options.models,
      options.checksFencing,
      options.loadModelMs,
    );
    this.updateLoadReport();
    this.reportTimer = setInterval(() => this.updateLoadReport(), options.loadLagMs);
  }

  async close(): Promise<void> {
    clearInterval(this.reportTimer);
    this.batch.clear();
    await this.server.close();
  }

  private updateLoadReport(): void {
    this.loadReport = {
      running: this.batch.running,
      suspended: this.batch.suspended,
      cachedTokens: this.cache.cachedTokens,
      models: this.loadedModels.state().models,
    };
  }

  private async handle(call: RequestContext): Promise<void> {
    const handlers: Record<string, () => void | Promise<void>> = {
      'POST /v1/chat/completions': () => this.handleCompletion(call),
      'GET /v1/models': () => this.listModels(call),
      'GET /load': () => this.server.respond(call, 200, this.loadReport),
      'GET /orders': () => this.server.respond(call, 200, this.loadedModels.state()),
      'POST /orders': () => this.applyOrder(call),
    };
    const handler = handlers[`${call.method} ${call.path}`];
    await (handler ? handler() : this.handleStreamAction(call));
  }

  private sendError(call: RequestContext, status: number, message: string): void {
    const error = { message, type: 'invalid_request_error', param: null, code: null };
    this.server.respond(call, status, { error }, 'invalid');
  }

  private listModels(call: RequestContext): void {
    const { models } = this.loadedModels.state();
    const data = models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'standin' }));
    this.server.respond(call, 200, { object: 'list', data });
  }

  private async applyOrder(call: RequestContext): Promise<void> {
    const order = parseJson(modelOrder, call.body);
    if (!order) {
      this.sendError(call, 400, 'not an order');
      return;
    }
    const followed = await this.loadedModels.applyOrder(order);
    if (followed) this.server.respond(call, 200, this.loadedModels.state());
    else this.server.respond(call, 409, this.loadedModels.state(), 'refused');
  }

  private handleCompletion(call: RequestContext): void {
    const request = parseJson(chatRequest, call.body);
    if (!request) {
      this.sendError(call, 400, 'not a chat completion request');
    } else if (joinMessages(request).includes(CRASH_MARKER)) {
      this.crash(call);
    } else if (joinMessages(request).includes(INVALID_REQUEST_MARKER)) {
      this.sendError(call, 400, 'the parameters are impossible');
    } else if (!this.loadedModels.isLoaded(request.model)) {
      this.sendError(call, 404, `the model ${request.model} is not loaded`);
    } else {
      this.startCompletion(call, request);
    }
  }

  private startCompletion(call: RequestContext, request: ChatRequest): void {
    const prompt = joinMessages(request);
    const promptTokens = prompt.split(/\s+/);
    const cachedTokens = this.cache.lookUpAndStore(promptTokens);
    const prefillMs = (promptTokens.length - cachedTokens) * this.options.prefillMsPerToken;
    this.startedCompletions += 1;
    const plan = {
      id: `chatcmpl-${this.startedCompletions}`,
      model: request.model,
      isStreamed: request.stream,
      tokenAt: createTokenSource(prompt, this.options.seed),
      length: getCompletionTokens(request),
      promptTokens: promptTokens.length,
      cachedTokens,
      firstTokenAt: performance.now() + prefillMs,
    };
    const stream = new CompletionStream(plan, call, this.server);
    const names = [plan.id, stream.requestId].filter((name) => name !== undefined);
    names.forEach((name) => this.streams.set(name, stream));
    call.response.on('close', () => {
      names.forEach((name) => this.streams.delete(name));
      this.batch.remove(stream);
      if (call.logged.outcome === 'running') call.logged.setOutcome('cancelled');
    });
    this.batch.add(stream);
  }

  private handleStreamAction(call: RequestContext): void {
    const [, id = '', action = ''] = STREAM_ACTION_PATH.exec(call.path) ?? [];
    const stream = this.streams.get(decodeURIComponent(id));
    if (call.method !== 'POST' || !stream) {
      this.sendError(call, 404, 'no such path or stream');
      return;
    }
    const actions: Record<string, () => void> = {
      cancel: () => stream.abort('cancelled'),
      suspend: () => {
        stream.isSuspended = true;
      },
      resume: () => {
        stream.isSuspended = false;
      },
    };
    actions[action]?.();
    this.server.respond(call, 200, { id: stream.plan.id, action });
  }

  private crash(call: RequestContext): void {
    call.logged.setOutcome('crashed');
    this.streams.forEach((stream) => stream.abort('crashed'));
    this.streams.clear();
    this.batch.clear();
    this.cache.clear();
    this.loadedModels.reset();
    // The port can be taken only by a process outside the test; then the engine stays down.
    void this.server.crash(this.options.restartMs).catch(() => undefined);
  }
}

/**
 * Starts an engine stand-in.
 *
 * @param options - what differs from the defaults
 * @returns the running stand-in
 */
export const startEngineStandin = async (
  options: Partial<EngineOptions> = {},
): Promise<TargetStandin> => {
  const engine = new Engine({ ...defaultEngineOptions, ...options });
  await engine.server.listen();
  return { url: engine.server.url, close: () => engine.close() };
};
