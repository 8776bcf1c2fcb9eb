/** Streams a chat completion with the unmodified `openai` client. */
import OpenAI from 'openai';
import { getCaller, type Step } from './Step.js';

/** Checks that a streamed chat completion ends with a finish reason. */
export const streamedChat: Step = {
  title: 'streamed chat',
  async run(fleet) {
    const { url, key } = getCaller(fleet, 0, 0);
    const client = new OpenAI({ baseURL: `${url}/v1`, apiKey: key.secret, maxRetries: 0 });
    const stream = await client.chat.completions.create({
      model: fleet.deployment.model,
      messages: [{ role: 'user', content: 'Which film suits a south window?' }],
      max_tokens: 24,
      stream: true,
    });
    let text = '';
    let chunks = 0;
    let finishReason: string | null = null;
    for await (const chunk of stream) {
      const choice = chunk.choices[0];
      text += choice?.delta.content ?? '';
      finishReason = choice?.finish_reason ?? finishReason;
      chunks += 1;
    }
    if (finishReason === null) throw new Error('the stream ended without a finish reason');
    return `${chunks} chunks, ${text.length} characters, finished by "${finishReason}"`;
  },
};
