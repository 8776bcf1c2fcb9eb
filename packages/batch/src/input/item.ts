/** Lines of a batch input, in the OpenAI batch format. */
import * as z from 'zod';

/** Endpoints that batch items may use; their requests may safely run twice. */
export const batchEndpoint = z.enum(['/v1/chat/completions']);

/** An endpoint that batch items may use. */
export type BatchEndpoint = z.infer<typeof batchEndpoint>;

/** Unit: characters. */
const MAX_CUSTOM_ID_LENGTH = 512;

/** Schema of an input line. */
export const itemLine = z.strictObject({
  custom_id: z.string().min(1).max(MAX_CUSTOM_ID_LENGTH),
  method: z.literal('POST'),
  url: z.string(),
  body: z.looseObject({
    model: z.string().min(1),
    // The result is a single line, which needs a complete response.
    stream: z.literal(false).optional(),
  }),
});

/** An input line. */
export type ItemLine = z.infer<typeof itemLine>;
