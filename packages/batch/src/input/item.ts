/** Lines of the batch input, in the OpenAI batch format. */
import * as z from 'zod';

/** Endpoints that batch items may use; requests to them may run twice without harm. */
export const batchEndpoint = z.enum(['/v1/chat/completions']);

/** An endpoint that batch items may use. */
export type BatchEndpoint = z.infer<typeof batchEndpoint>;

/** Longest `custom_id`. Unit: characters. */
const MAX_CUSTOM_ID_LENGTH = 512;

/** Schema of one line. */
export const itemLine = z.strictObject({
  custom_id: z.string().min(1).max(MAX_CUSTOM_ID_LENGTH),
  method: z.literal('POST'),
  url: z.string(),
  body: z.looseObject({
    model: z.string().min(1),
    // The result is one line, so the answer must be whole.
    stream: z.literal(false).optional(),
  }),
});

/** One line of the input. */
export type ItemLine = z.infer<typeof itemLine>;
