/** Runs a batch job of 200 items, two of which always fail, with the unmodified `openai` client. */
import { setTimeout as sleep } from 'node:timers/promises';
import OpenAI, { toFile } from 'openai';
import { createBatchLines } from '../launch/createBatchLines.js';
import { getCaller, type Step } from './Step.js';

const ITEMS = 200;
/** Indexes of items that the engine stand-in always rejects. */
const IMPOSSIBLE_ITEMS = new Set([17, 142]);
const JOB_TIMEOUT_MS = 120_000;
const POLL_INTERVAL_MS = 250;

const createContent = (index: number): string =>
  `${IMPOSSIBLE_ITEMS.has(index) ? '__impossible__ ' : ''}window ${index}`;

const parseCustomIds = (text: string): string[] =>
  text
    .split('\n')
    .filter(Boolean)
    .map((line) => (JSON.parse(line) as { custom_id: string }).custom_id);

/** Checks that each item of the job ends in exactly one of the output file and the error file. */
export const batchJob: Step = {
  title: 'batch job',
  async run(fleet) {
    const { url, key } = getCaller(fleet, 1, 1);
    const client = new OpenAI({ baseURL: `${url}/v1`, apiKey: key.secret, maxRetries: 0 });
    const lines = createBatchLines(fleet.deployment.model, ITEMS, 8, createContent);
    const file = await client.files.create({
      purpose: 'batch',
      file: await toFile(Buffer.from(`${lines.join('\n')}\n`), 'windows.jsonl'),
    });
    let job = await client.batches.create({
      input_file_id: file.id,
      endpoint: '/v1/chat/completions',
      completion_window: '24h',
    });
    const deadline = performance.now() + JOB_TIMEOUT_MS;
    while (job.status !== 'completed' && performance.now() < deadline) {
      await sleep(POLL_INTERVAL_MS);
      job = await client.batches.retrieve(job.id);
    }
    if (job.status !== 'completed')
      throw new Error(`the job did not complete in time; its status is ${job.status}`);
    const output = await (await client.files.content(job.output_file_id ?? '')).text();
    const errors = await (await client.files.content(job.error_file_id ?? '')).text();
    const succeeded = parseCustomIds(output);
    const failed = parseCustomIds(errors);
    const distinct = new Set([...succeeded, ...failed]);
    if (distinct.size !== ITEMS || succeeded.length + failed.length !== ITEMS) {
      throw new Error(`${succeeded.length} results and ${failed.length} errors for ${ITEMS} items`);
    }
    return `${succeeded.length} results, ${failed.length} errors (${failed.sort().join(', ')})`;
  },
};
