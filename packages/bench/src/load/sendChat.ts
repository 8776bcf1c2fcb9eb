/** Sends one streamed chat and times it. */
import type { Dispatcher } from 'undici';
import * as z from 'zod';

/** How a request ended. */
export type Ending = 'completed' | 'refused' | 'cut' | 'unanswered';

/** What became of one request. Times count from the intended send time, in ms. */
export interface ChatOutcome {
  readonly ending: Ending;
  /** Result code of a refusal; the kind of failure where there is none. */
  readonly code?: string;
  readonly tokens: number;
  readonly firstTokenMs?: number;
  readonly gapsMs: readonly number[];
  readonly wholeMs: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** What to send. */
export interface ChatRequest {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly outputTokens: number;
  /** Intended send time, monotonic. Unit: ms. */
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

/** Collects the events of one stream. */
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
 * Sends one streamed chat.
 *
 * @param dispatcher - connections of the load
 * @param chat - what to send
 * @returns what became of it; never rejects
 */
export const sendChat = async (dispatcher: Dispatcher, chat: ChatRequest): Promise<ChatOutcome> => {
  const record = new StreamRecord(chat.dueAt);
  const outcome = (ending: Ending, code?: string): ChatOutcome => ({
    ending,
    ...(code === undefined ? {} : { code }),
    tokens: record.tokens,
    ...(record.firstTokenMs === undefined ? {} : { firstTokenMs: record.firstTokenMs }),
    gapsMs: record.gapsMs,
    wholeMs: performance.now() - chat.dueAt,
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
    for await (const part of body) record.add(decoder.decode(part as Buffer, { stream: true }));
    return record.isComplete ? outcome('completed') : outcome('cut', record.errorCode ?? 'no-end');
  } catch (fault) {
    const { code } = fault as NodeJS.ErrnoException;
    const isStarted = record.tokens > 0;
    const reason = record.errorCode ?? (typeof code === 'string' ? code : 'failed');
    return outcome(isStarted ? 'cut' : 'unanswered', reason);
  }
};
