/** A streamed chat through the unmodified `openai` client. */
import OpenAI from 'openai';
import { getCaller, type Step } from './Step.js';

/** A streamed chat. */
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
    let finish: string | null = null;
    for await (const chunk of stream) {
      const choice = chunk.choices[0];
      text += choice?.delta.content ?? '';
      finish = choice?.finish_reason ?? finish;
      chunks += 1;
    }
    if (finish === null) throw new Error('the stream had no end');
    return `${chunks} chunks, ${text.length} characters, finished by "${finish}"`;
  },
};
