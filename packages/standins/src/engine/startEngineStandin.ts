/** Stand-in for a model engine with an OpenAI-compatible API. */
import type { z } from 'zod';
import { TargetServer, type RequestContext, type TargetStandin } from '../target/TargetServer.js';
import { getCompletionTokens, chatRequest, joinMessages, type ChatRequest } from './chatRequest.js';
import { CompletionStream } from './CompletionStream.js';
import { ContinuousBatch } from './ContinuousBatch.js';
import { defaultEngineOptions, type EngineOptions } from './engineOptions.js';
import { modelOrder, LoadedModels } from './LoadedModels.js';
import { createTokenSource } from './createTokenSource.js';
import { PrefixCache } from './PrefixCache.js';

/** Crashes the engine when a prompt contains it. */
export const CRASH_MARKER = '__crash__';

/** Makes the engine respond with status 400 when a prompt contains it. */
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

/** An engine with its HTTP server. */
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
    this.server = new TargetServer(options, (context) => this.handle(context));
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

  private async handle(context: RequestContext): Promise<void> {
    const handlers: Record<string, () => void | Promise<void>> = {
      'POST /v1/chat/completions': () => this.handleCompletion(context),
      'GET /v1/models': () => this.listModels(context),
      'GET /load': () => this.server.respond(context, 200, this.loadReport),
      'GET /orders': () => this.server.respond(context, 200, this.loadedModels.state()),
      'POST /orders': () => this.applyOrder(context),
    };
    const handler = handlers[`${context.method} ${context.path}`];
    await (handler ? handler() : this.handleStreamAction(context));
  }

  private sendError(context: RequestContext, status: number, message: string): void {
    const error = { message, type: 'invalid_request_error', param: null, code: null };
    this.server.respond(context, status, { error }, 'invalid');
  }

  private listModels(context: RequestContext): void {
    const { models } = this.loadedModels.state();
    const data = models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'standin' }));
    this.server.respond(context, 200, { object: 'list', data });
  }

  private async applyOrder(context: RequestContext): Promise<void> {
    const order = parseJson(modelOrder, context.body);
    if (!order) {
      this.sendError(context, 400, 'the body is not a valid order');
      return;
    }
    const isApplied = await this.loadedModels.applyOrder(order);
    if (isApplied) this.server.respond(context, 200, this.loadedModels.state());
    else this.server.respond(context, 409, this.loadedModels.state(), 'refused');
  }

  private handleCompletion(context: RequestContext): void {
    const request = parseJson(chatRequest, context.body);
    if (!request) {
      this.sendError(context, 400, 'the body is not a valid chat completion request');
    } else if (joinMessages(request).includes(CRASH_MARKER)) {
      this.crash(context);
    } else if (joinMessages(request).includes(INVALID_REQUEST_MARKER)) {
      this.sendError(context, 400, 'the request parameters are invalid');
    } else if (!this.loadedModels.isLoaded(request.model)) {
      this.sendError(context, 404, `the model ${request.model} is not loaded`);
    } else {
      this.startCompletion(context, request);
    }
  }

  private startCompletion(context: RequestContext, request: ChatRequest): void {
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
      tokenCount: getCompletionTokens(request),
      promptTokens: promptTokens.length,
      cachedTokens,
      firstTokenAt: performance.now() + prefillMs,
    };
    const stream = new CompletionStream(plan, context, this.server);
    const ids = [plan.id, stream.requestId].filter((id) => id !== undefined);
    ids.forEach((id) => this.streams.set(id, stream));
    context.response.on('close', () => {
      ids.forEach((id) => this.streams.delete(id));
      this.batch.remove(stream);
      if (context.logEntry.outcome === 'running') context.logEntry.setOutcome('cancelled');
    });
    this.batch.add(stream);
  }

  private handleStreamAction(context: RequestContext): void {
    const [, id = '', action = ''] = STREAM_ACTION_PATH.exec(context.path) ?? [];
    const stream = this.streams.get(decodeURIComponent(id));
    if (context.method !== 'POST' || !stream) {
      this.sendError(context, 404, 'unknown path or stream');
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
    this.server.respond(context, 200, { id: stream.plan.id, action });
  }

  private crash(context: RequestContext): void {
    context.logEntry.setOutcome('crashed');
    this.streams.forEach((stream) => stream.abort('crashed'));
    this.streams.clear();
    this.batch.clear();
    this.cache.clear();
    this.loadedModels.reset();
    // Listening fails only if a process outside the test has taken the port; the engine then stays
    // down.
    void this.server.crash(this.options.restartMs).catch(() => undefined);
  }
}

/**
 * Starts an engine stand-in.
 *
 * @param options - options that override the defaults
 * @returns the running stand-in
 */
export const startEngineStandin = async (
  options: Partial<EngineOptions> = {},
): Promise<TargetStandin> => {
  const engine = new Engine({ ...defaultEngineOptions, ...options });
  await engine.server.listen();
  return { url: engine.server.url, close: () => engine.close() };
};
