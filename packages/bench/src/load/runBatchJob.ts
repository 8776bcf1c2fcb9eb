/** Submits a batch job and waits for its completion. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet } from '@jacinthlug/demo/launch/Fleet';
import * as z from 'zod';
import type { BatchJobPlan } from '../experiment/experiment.js';
import { createRandom } from '../schedule/createRandom.js';
import { makeWords } from '../schedule/planRequests.js';

/** First word of the prompts of batch items; distinguishes them from online requests. */
export const BATCH_MARK = 'bench-item';

const POLL_INTERVAL_MS = 250;

/** Outcome of a job. */
export interface JobOutcome {
  readonly account: string;
  readonly items: number;
  /** Time from submission to completion; absent when the run ended before. Unit: ms. */
  readonly completedMs?: number;
  readonly isLate: boolean;
  /** Error of the submission; absent when the job was accepted. */
  readonly refusal?: string;
}

const createdResponse = z.object({ id: z.string() });
const statusResponse = z.object({ status: z.string() });

/** A job with its input, which is created before the load starts so that it delays no request. */
export interface PreparedJob {
  readonly plan: BatchJobPlan;
  readonly inputLines: string;
  /** Base URL of the entry host that the job is submitted to. */
  readonly url: string;
  readonly key: string;
}

const createInputLines = (
  plan: BatchJobPlan,
  index: number,
  model: string,
  seed: number,
): string => {
  const random = createRandom(seed, `job ${index}`);
  const lines = Array.from({ length: plan.items }, (_, item) => {
    const words = makeWords(`job${index}-${item}`, random.integerWithin(plan.promptTokens));
    return JSON.stringify({
      custom_id: `item-${item}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: {
        model,
        max_tokens: random.integerWithin(plan.outputTokens),
        messages: [{ role: 'user', content: [BATCH_MARK, ...words].join(' ') }],
      },
    });
  });
  return `${lines.join('\n')}\n`;
};

const readJson = async (response: Response): Promise<unknown> => {
  const text = await response.text();
  if (!response.ok) throw new Error(`HTTP ${response.status}: ${text.slice(0, 200)}`);
  return JSON.parse(text) as unknown;
};

const submit = async (
  url: string,
  key: string,
  lines: string,
): Promise<z.infer<typeof createdResponse>> => {
  const authorization = `Bearer ${key}`;
  const form = new FormData();
  form.set('purpose', 'batch');
  form.set('file', new Blob([lines]), 'items.jsonl');
  const file = createdResponse.parse(
    await readJson(
      await fetch(`${url}/v1/files`, { method: 'POST', headers: { authorization }, body: form }),
    ),
  );
  return createdResponse.parse(
    await readJson(
      await fetch(`${url}/v1/batches`, {
        method: 'POST',
        headers: { authorization, 'content-type': 'application/json' },
        body: JSON.stringify({
          input_file_id: file.id,
          endpoint: '/v1/chat/completions',
          completion_window: '24h',
        }),
      }),
    ),
  );
};

/**
 * Creates the input of a job.
 *
 * @param fleet - the fleet
 * @param plan - the job
 * @param index - index of the job in the experiment
 * @param seed - seed of the experiment
 * @returns the job, ready to be submitted
 */
export const prepareJob = (
  fleet: Fleet,
  plan: BatchJobPlan,
  index: number,
  seed: number,
): PreparedJob => ({
  plan,
  inputLines: createInputLines(plan, index, fleet.deployment.model, seed),
  url: fleet.entries[index % fleet.entries.length]?.url ?? '',
  key: fleet.keys.get(plan.account)?.secret ?? '',
});

/**
 * Submits a job and polls its state until it is completed.
 *
 * @param job - the job
 * @param startAt - start of the load, monotonic. Unit: ms
 * @param endAt - time at which polling ends, monotonic. Unit: ms
 * @returns outcome of the job
 */
export const runBatchJob = async (
  { plan, inputLines, url, key }: PreparedJob,
  startAt: number,
  endAt: number,
): Promise<JobOutcome> => {
  const { account, items, atMs, dueMs } = plan;
  await sleep(Math.max(0, startAt + atMs - performance.now()));
  const submittedAt = performance.now();
  const dueAt = submittedAt + dueMs;
  let id: string;
  try {
    ({ id } = await submit(url, key, inputLines));
  } catch (error) {
    return { account, items, isLate: true, refusal: (error as Error).message };
  }
  while (performance.now() < endAt) {
    const headers = { authorization: `Bearer ${key}` };
    // A poll fails while the entry host or the platform is down; the loop then polls again.
    const response = await fetch(`${url}/v1/batches/${id}`, { headers })
      .then(readJson)
      .catch(() => undefined);
    const now = performance.now();
    if (statusResponse.safeParse(response).data?.status === 'completed') {
      return { account, items, completedMs: now - submittedAt, isLate: now > dueAt };
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return { account, items, isLate: performance.now() > dueAt };
};
