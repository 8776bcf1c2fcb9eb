/** Submits, reads and cancels batch jobs of scenarios with the unmodified `openai` client. */
import OpenAI from 'openai';
import {
  getEntryHost,
  getKey,
  readReceivedRequests,
  type FleetWorld,
  type ReceivedRequest,
} from './FleetWorld.js';
import { createBatchLines } from '../../src/launch/createBatchLines.js';
import type { Fleet } from '../../src/launch/Fleet.js';

const ACCOUNT = 'surveyors';
const ITEM_CONTENT_PREFIX = 'batch-item';

const createClient = (fleet: Fleet, entry: number): OpenAI =>
  new OpenAI({
    baseURL: `${getEntryHost(fleet, entry).url}/v1`,
    apiKey: getKey(fleet, ACCOUNT).secret,
    maxRetries: 0,
  });

/**
 * Builds the input lines of a job.
 *
 * @param fleet - fleet whose model is used
 * @param count - number of items
 * @param tokens - length of each response. Unit: tokens
 * @returns lines in the format of a batch input file
 */
export const createJobLines = (fleet: Fleet, count: number, tokens: number): string[] =>
  createBatchLines(
    fleet.deployment.model,
    count,
    tokens,
    (index) => `${ITEM_CONTENT_PREFIX} ${index}`,
  );

/**
 * Submits a job through entry host 2.
 *
 * @param fleet - running fleet
 * @param count - number of items
 * @param tokens - length of each response. Unit: tokens
 * @returns id of the job
 */
export const submitJob = async (fleet: Fleet, count: number, tokens: number): Promise<string> => {
  const client = createClient(fleet, 2);
  const lines = createJobLines(fleet, count, tokens);
  const file = await client.files.create({
    purpose: 'batch',
    file: new File([lines.join('\n')], 'items.jsonl'),
  });
  const job = await client.batches.create({
    input_file_id: file.id,
    endpoint: '/v1/chat/completions',
    completion_window: '24h',
    // Jobs with the same content count as one job, so each scenario adds a value of its own.
    metadata: { scenario: String(performance.now()) },
  });
  return job.id;
};

/**
 * Cancels the job of a scenario.
 *
 * @param world - state of the scenario
 */
export const cancelJob = async (world: FleetWorld): Promise<void> => {
  await createClient(world.fleet, 1).batches.cancel(world.jobId);
};

/**
 * Lists the batch items that engines are running.
 *
 * @param world - state of the scenario
 * @returns the requests of these items
 */
export const listRunningItems = async (world: FleetWorld): Promise<ReceivedRequest[]> => {
  const received = await readReceivedRequests(world.fleet.standins.engines);
  return received.filter(
    ({ outcome, body }) => outcome === 'running' && body.includes(ITEM_CONTENT_PREFIX),
  );
};

/** Status and results of a job. */
export interface JobResults {
  readonly status: string;
  /** Custom ids in the output file and the error file; empty until the job has completed. */
  readonly customIds: readonly string[];
}

const readCustomIds = async (client: OpenAI, file: string | undefined): Promise<string[]> => {
  if (!file) return [];
  const text = await (await client.files.content(file)).text();
  return text
    .split('\n')
    .filter(Boolean)
    .map((line) => (JSON.parse(line) as { custom_id: string }).custom_id);
};

/**
 * Reads the status and the results of the job of a scenario through entry host 1.
 *
 * @param world - state of the scenario
 * @returns status and results
 */
export const readJob = async (world: FleetWorld): Promise<JobResults> => {
  const client = createClient(world.fleet, 1);
  const job = await client.batches.retrieve(world.jobId);
  if (job.status !== 'completed') return { status: job.status, customIds: [] };
  const output = await readCustomIds(client, job.output_file_id);
  const errors = await readCustomIds(client, job.error_file_id);
  return { status: job.status, customIds: [...output, ...errors] };
};
