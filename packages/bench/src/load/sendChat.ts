/** Sends a streamed chat request and measures its times. */
import type { Dispatcher } from 'undici';
import * as z from 'zod';

/** How a request ended. */
export type Ending = 'completed' | 'refused' | 'cut' | 'unanswered';

/** Outcome of a request. Times are measured from its scheduled time. */
export interface ChatOutcome {
  readonly ending: Ending;
  /** Result code of a refusal or stream error, otherwise the kind of failure. */
  readonly code?: string;
  readonly tokens: number;
  /** Time to the first token; absent without any token. Unit: ms. */
  readonly firstTokenMs?: number;
  /** Times between successive tokens. Unit: ms. */
  readonly gapsMs: readonly number[];
  /** Time to the end of the request. Unit: ms. */
  readonly totalMs: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** A chat request. */
export interface ChatRequest {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly outputTokens: number;
  /** Scheduled time, monotonic. Unit: ms. */
  readonly dueAt: number;
  readonly signal: AbortSignal;
}

const errorResponse = z.object({ error: z.object({ code: z.string() }) });

const streamEvent = z.object({
  error: z.object({ code: z.string().nullish() }).optional(),
  choices: z
    .array(z.object({ delta: z.object({ content: z.string().optional() }).optional() }))
    .default([]),
  usage: z
    .object({
      prompt_tokens: z.number(),
      prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional(),
    })
    .nullish(),
});

const EVENT_PREFIX = 'data: ';
const FINAL_EVENT = '[DONE]';

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Parses the events of a stream and records its tokens and their times. */
class StreamRecord {
  tokens = 0;

  firstTokenMs: number | undefined;

  readonly gapsMs: number[] = [];

  promptTokens = 0;

  cachedTokens = 0;

  isComplete = false;

  errorCode: string | undefined;

  private lastTokenAt = 0;

  private incompleteLine = '';

  constructor(private readonly dueAt: number) {}

  add(text: string): void {
    const lines = (this.incompleteLine + text).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    lines
      .filter((line) => line.startsWith(EVENT_PREFIX))
      .forEach((line) => this.addEvent(line.slice(EVENT_PREFIX.length).trim()));
  }

  private addEvent(data: string): void {
    if (data === FINAL_EVENT) {
      this.isComplete = true;
      return;
    }
    const parsed = streamEvent.safeParse(parseJson(data));
    if (!parsed.success) return;
    const { choices, usage, error } = parsed.data;
    if (error) this.errorCode = error.code ?? 'error-event';
    if (choices.some(({ delta }) => delta?.content !== undefined)) this.addToken();
    this.promptTokens = usage?.prompt_tokens ?? this.promptTokens;
    this.cachedTokens = usage?.prompt_tokens_details?.cached_tokens ?? this.cachedTokens;
  }

  private addToken(): void {
    const now = performance.now();
    if (this.firstTokenMs === undefined) this.firstTokenMs = now - this.dueAt;
    else this.gapsMs.push(now - this.lastTokenAt);
    this.lastTokenAt = now;
    this.tokens += 1;
  }
}

/**
 * Sends a streamed chat request.
 *
 * @param dispatcher - connection pool
 * @param chat - the request
 * @returns its outcome; never rejects
 */
export const sendChat = async (dispatcher: Dispatcher, chat: ChatRequest): Promise<ChatOutcome> => {
  const record = new StreamRecord(chat.dueAt);
  const outcome = (ending: Ending, code?: string): ChatOutcome => ({
    ending,
    ...(code === undefined ? {} : { code }),
    tokens: record.tokens,
    ...(record.firstTokenMs === undefined ? {} : { firstTokenMs: record.firstTokenMs }),
    gapsMs: record.gapsMs,
    totalMs: performance.now() - chat.dueAt,
    promptTokens: record.promptTokens,
    cachedTokens: record.cachedTokens,
  });
  try {
    const { statusCode, body } = await dispatcher.request({
      origin: chat.url,
      path: '/v1/chat/completions',
      method: 'POST',
      signal: chat.signal,
      headers: { authorization: `Bearer ${chat.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: chat.model,
        messages: [{ role: 'user', content: chat.prompt }],
        max_tokens: chat.outputTokens,
        stream: true,
      }),
    });
    if (statusCode !== 200) {
      const parsed = errorResponse.safeParse(parseJson(await body.text()));
      return outcome('refused', parsed.success ? parsed.data.error.code : `http-${statusCode}`);
    }
    const decoder = new TextDecoder();
    for await (const chunk of body) record.add(decoder.decode(chunk as Buffer, { stream: true }));
    return record.isComplete ? outcome('completed') : outcome('cut', record.errorCode ?? 'no-end');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    const hasTokens = record.tokens > 0;
    const reason = record.errorCode ?? (typeof code === 'string' ? code : 'failed');
    return outcome(hasTokens ? 'cut' : 'unanswered', reason);
  }
};
