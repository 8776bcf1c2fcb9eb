/** A chat completion that runs in the engine stand-in. */
import type { RequestContext, TargetServer } from '../target/TargetServer.js';
import type { BatchedStream } from './ContinuousBatch.js';
import type { TokenSource } from './createTokenSource.js';

/** Identity, content and start time of a completion. */
export interface CompletionPlan {
  readonly id: string;
  readonly model: string;
  readonly isStreamed: boolean;
  readonly tokenAt: TokenSource;
  /** Number of tokens to generate. */
  readonly tokenCount: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Monotonic time at which the prefill ends. Unit: ms. */
  readonly firstTokenAt: number;
}

/** A chat completion, streamed or sent as a single response. */
export class CompletionStream implements BatchedStream {
  isSuspended = false;

  private produced = 0;

  private readonly isResponseLost: boolean;

  private readonly created = Math.floor(Date.now() / 1000);

  constructor(
    readonly plan: CompletionPlan,
    readonly context: RequestContext,
    private readonly server: TargetServer,
  ) {
    this.isResponseLost = plan.isStreamed && server.consumeFault('loseAnswers');
  }

  get firstTokenAt(): number {
    return this.plan.firstTokenAt;
  }

  get requestId(): string | undefined {
    const id = this.context.request.headers['x-request-id'];
    return typeof id === 'string' ? id : undefined;
  }

  step(): boolean {
    const { tokenAt, tokenCount, isStreamed } = this.plan;
    if (this.produced >= (this.server.faults.cutAfterTokens ?? Infinity)) return this.abort('cut');
    this.produced += 1;
    if (isStreamed && !this.isResponseLost) this.writeToken(tokenAt(this.produced - 1));
    if (this.produced < tokenCount) return true;
    if (this.isResponseLost) return this.abort('lost');
    this.finish();
    return false;
  }

  /**
   * Destroys the connection of the completion.
   *
   * @param outcome - outcome to log
   * @returns `false`, which {@link CompletionStream.step} returns when the stream has ended
   */
  abort(outcome: 'cut' | 'lost' | 'cancelled' | 'crashed'): false {
    this.context.logEntry.setOutcome(outcome);
    this.context.response.destroy();
    return false;
  }

  private get usage() {
    const { promptTokens, cachedTokens } = this.plan;
    return {
      prompt_tokens: promptTokens,
      completion_tokens: this.produced,
      total_tokens: promptTokens + this.produced,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    };
  }

  private writeToken(token: string): void {
    const { response } = this.context;
    if (!response.headersSent) {
      response.writeHead(200, {
        ...this.server.createIdHeaders(this.context),
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
      });
      this.writeChunk({ role: 'assistant', content: token }, null);
    } else {
      this.writeChunk({ content: token }, null);
    }
  }

  private writeChunk(delta: object, finishReason: string | null): void {
    const { id, model } = this.plan;
    const choices = [{ index: 0, delta, finish_reason: finishReason }];
    const usage = finishReason === null ? {} : { usage: this.usage };
    const chunk = { id, object: 'chat.completion.chunk', created: this.created, model, choices };
    this.context.response.write(`data: ${JSON.stringify({ ...chunk, ...usage })}\n\n`);
  }

  private finish(): void {
    const { id, model, tokenAt, tokenCount, isStreamed } = this.plan;
    if (isStreamed) {
      this.writeChunk({}, 'stop');
      this.context.logEntry.setOutcome('completed');
      this.context.response.end(this.server.faults.omitFinalEvent ? '' : 'data: [DONE]\n\n');
      return;
    }
    const content = Array.from({ length: tokenCount }, (_, index) => tokenAt(index)).join('');
    const message = { role: 'assistant', content: content.trimEnd() };
    this.server.respond(this.context, 200, {
      id,
      object: 'chat.completion',
      created: this.created,
      model,
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: this.usage,
    });
  }
}
