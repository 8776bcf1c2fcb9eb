/** Fields of the body of `POST /v1/chat/completions` that the stand-in reads. */
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
 * Joins the messages of a request into one prompt.
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
 * Returns the number of tokens that the response has.
 *
 * @param request - chat completion request
 * @returns number of tokens
 */
export const getCompletionTokens = (request: ChatRequest): number =>
  request.max_completion_tokens ?? request.max_tokens ?? DEFAULT_COMPLETION_TOKENS;
