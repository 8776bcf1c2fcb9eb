/** Stand-in of a model engine. */
import type { z } from 'zod';
import { TargetServer, type Call, type TargetStandin } from '../target/TargetServer.js';
import { answerLength, chatRequest, promptOf, type ChatRequest } from './chatRequest.js';
import { CompletionStream } from './CompletionStream.js';
import { ContinuousBatch } from './ContinuousBatch.js';
import { defaultEngineOptions, type EngineOptions } from './engineOptions.js';
import { modelOrder, ModelOrders } from './ModelOrders.js';
import { openTokens } from './openTokens.js';
import { PrefixCache } from './PrefixCache.js';

/** A prompt that contains this crashes the engine. */
export const CRASH_MARK = '__crash__';

/** A prompt that contains this gets status 400. */
export const IMPOSSIBLE_MARK = '__impossible__';

const STREAM_PATH = /^\/v1\/streams\/([^/]+)\/(cancel|suspend|resume)$/;

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

  private readonly orders: ModelOrders;

  private readonly streams = new Map<string, CompletionStream>();

  private started = 0;

  private report: object = {};

  private readonly reporter: NodeJS.Timeout;

  constructor(private readonly options: EngineOptions) {
    this.server = new TargetServer(options, (call) => this.handle(call));
    this.batch = new ContinuousBatch(options);
    this.cache = new PrefixCache(options.cacheTokens);
    this.orders = new ModelOrders(options.models, options.checksFencing, options.loadModelMs);
    this.takeReport();
    this.reporter = setInterval(() => this.takeReport(), options.loadLagMs);
  }

  async close(): Promise<void> {
    clearInterval(this.reporter);
    this.batch.clear();
    await this.server.close();
  }

  private takeReport(): void {
    this.report = {
      running: this.batch.running,
      suspended: this.batch.suspended,
      cachedTokens: this.cache.cachedTokens,
      models: this.orders.state().models,
    };
  }

  private async handle(call: Call): Promise<void> {
    const handlers: Record<string, () => void | Promise<void>> = {
      'POST /v1/chat/completions': () => this.complete(call),
      'GET /v1/models': () => this.listModels(call),
      'GET /load': () => this.server.answer(call, 200, this.report),
      'GET /orders': () => this.server.answer(call, 200, this.orders.state()),
      'POST /orders': () => this.followOrder(call),
    };
    const handler = handlers[`${call.method} ${call.path}`];
    await (handler ? handler() : this.changeStream(call));
  }

  private refuse(call: Call, status: number, message: string): void {
    const error = { message, type: 'invalid_request_error', param: null, code: null };
    this.server.answer(call, status, { error }, 'invalid');
  }

  private listModels(call: Call): void {
    const { models } = this.orders.state();
    const data = models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'standin' }));
    this.server.answer(call, 200, { object: 'list', data });
  }

  private async followOrder(call: Call): Promise<void> {
    const order = parseJson(modelOrder, call.body);
    if (!order) {
      this.refuse(call, 400, 'not an order');
      return;
    }
    const followed = await this.orders.follow(order);
    if (followed) this.server.answer(call, 200, this.orders.state());
    else this.server.answer(call, 409, this.orders.state(), 'refused');
  }

  private complete(call: Call): void {
    const request = parseJson(chatRequest, call.body);
    if (!request) {
      this.refuse(call, 400, 'not a chat completion request');
    } else if (promptOf(request).includes(CRASH_MARK)) {
      this.crash(call);
    } else if (promptOf(request).includes(IMPOSSIBLE_MARK)) {
      this.refuse(call, 400, 'the parameters are impossible');
    } else if (!this.orders.serves(request.model)) {
      this.refuse(call, 404, `the model ${request.model} is not loaded`);
    } else {
      this.admit(call, request);
    }
  }

  private admit(call: Call, request: ChatRequest): void {
    const prompt = promptOf(request);
    const promptTokens = prompt.split(/\s+/);
    const cachedTokens = this.cache.use(promptTokens);
    const prefillMs = (promptTokens.length - cachedTokens) * this.options.prefillMsPerToken;
    this.started += 1;
    const plan = {
      id: `chatcmpl-${this.started}`,
      model: request.model,
      isStreamed: request.stream,
      tokenAt: openTokens(prompt, this.options.seed),
      length: answerLength(request),
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
      if (call.logged.outcome === 'running') call.logged.conclude('cancelled');
    });
    this.batch.add(stream);
  }

  private changeStream(call: Call): void {
    const [, id = '', action = ''] = STREAM_PATH.exec(call.path) ?? [];
    const stream = this.streams.get(decodeURIComponent(id));
    if (call.method !== 'POST' || !stream) {
      this.refuse(call, 404, 'no such path or stream');
      return;
    }
    const actions: Record<string, () => void> = {
      cancel: () => stream.cut('cancelled'),
      suspend: () => {
        stream.isSuspended = true;
      },
      resume: () => {
        stream.isSuspended = false;
      },
    };
    actions[action]?.();
    this.server.answer(call, 200, { id: stream.plan.id, action });
  }

  private crash(call: Call): void {
    call.logged.conclude('crashed');
    this.streams.forEach((stream) => stream.cut('crashed'));
    this.streams.clear();
    this.batch.clear();
    this.cache.clear();
    this.orders.reset();
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
