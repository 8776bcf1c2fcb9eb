/** Body of `POST /v1/chat/completions`, as far as the stand-in reads it. */
import * as z from 'zod';

const message = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(z.looseObject({ text: z.string().optional() }))]),
});

/** Schema of a chat completion request. */
export const chatRequest = z.looseObject({
  model: z.string(),
  messages: z.array(message).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
});

/** A chat completion request. */
export type ChatRequest = z.infer<typeof chatRequest>;

const DEFAULT_COMPLETION_TOKENS = 16;

/**
 * Joins the messages of a request.
 *
 * @param request - chat completion request
 * @returns the prompt
 */
export const joinMessages = (request: ChatRequest): string =>
  request.messages
    .map(({ role, content }) => {
      const text = typeof content === 'string' ? [content] : content.map((part) => part.text ?? '');
      return `${role}: ${text.join(' ')}`;
    })
    .join('\n');

/**
 * Tells how many tokens the answer has.
 *
 * @param request - chat completion request
 * @returns number of tokens
 */
export const getCompletionTokens = (request: ChatRequest): number =>
  request.max_completion_tokens ?? request.max_tokens ?? DEFAULT_COMPLETION_TOKENS;
