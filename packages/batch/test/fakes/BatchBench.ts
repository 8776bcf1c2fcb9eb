/** Batch stores on an in-memory platform, with helpers to submit jobs and to read results. */
import assert from 'node:assert/strict';
import type { Result } from 'neverthrow';
import { openChunkStore, type ChunkStore } from '../../src/ChunkStore.js';
import type { Clock } from '../../src/Clock.js';
import { openFileStore } from '../../src/FileStore.js';
import type { InputRules } from '../../src/input/checkInput.js';
import {
  openJobStore,
  type Acceptance,
  type AcceptFailure,
  type Submission,
} from '../../src/JobStore.js';
import { openResultFile, type ResultKind } from '../../src/results/resultFiles.js';
import { resultLine, type ResultLine } from '../../src/results/resultLine.js';
import type { FileRecord, Job } from '../../src/rows/rows.js';
import { MemoryObjects } from './MemoryObjects.js';
import { MemoryTable } from './MemoryTable.js';
import { SimulatedTime } from './SimulatedTime.js';
import { unwrap } from './unwrap.js';

export const ACCOUNT = 'harbor';

export const MODEL = 'olmo';

const ENDPOINT = '/v1/chat/completions';

export const rules: InputRules = {
  endpoint: ENDPOINT,
  servesModel: (model) => model === MODEL,
  containsKey: (text) => text.includes('jl_a_secret'),
};

/** Creates an input line; its content tells a fake target how to respond to the item. */
export const inputLine = (id: string, content = 'answer'): string =>
  JSON.stringify({
    custom_id: id,
    method: 'POST',
    url: ENDPOINT,
    body: { model: MODEL, messages: [{ role: 'user', content }] },
  });

/** Creates a generator of numbers in [0, 1) from a seed of at least 1 (minimal standard generator). */
export const seededRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
};

export class BatchBench {
  readonly time = new SimulatedTime();

  readonly clock = this.time.openClock();

  readonly table = new MemoryTable();

  readonly objects = new MemoryObjects();

  readonly jobs = openJobStore(this);

  readonly files = openFileStore(this);

  readonly chunks = this.openChunks(this.clock, seededRandom(1));

  openChunks(clock: Clock, random: () => number): ChunkStore {
    return openChunkStore({ ...this, jobs: openJobStore({ ...this, clock }), clock, random });
  }

  async upload(lines: readonly string[]): Promise<FileRecord> {
    const content = Buffer.from(lines.map((line) => `${line}\n`).join(''));
    const file = { account: ACCOUNT, purpose: 'batch', filename: 'in.jsonl', content };
    return unwrap(await this.files.add(file, Infinity));
  }

  submit(
    file: FileRecord,
    extra: Partial<Submission> = {},
  ): Promise<Result<Acceptance, AcceptFailure>> {
    const submission = {
      account: ACCOUNT,
      file,
      window: '24h',
      dueInMs: 86_400_000,
      metadata: null,
      ...extra,
    };
    return this.jobs.accept(submission, rules, Infinity);
  }

  async acceptJob(lines: readonly string[]): Promise<Job> {
    const file = await this.upload(lines);
    return unwrap(await this.submit(file)).job;
  }

  /** Reads a result file, whatever the state of the job. */
  async readResults(job: string, kind: ResultKind): Promise<ResultLine[]> {
    const report = unwrap(await this.jobs.report(job));
    const stream = unwrap(await openResultFile(this.objects, report, kind));
    const text = Buffer.concat((await stream.toArray()).map((part) => Buffer.from(part as string)));
    assert.equal(text.length, report.tally[`${kind}Bytes`]);
    const lines = text.toString('utf8').split('\n').filter(Boolean);
    return lines.map((line) => resultLine.parse(JSON.parse(line)));
  }

  /** Checks that each input item appears exactly once, in the correct result file. */
  async checkExactlyOnce(
    job: string,
    input: readonly string[],
    fails: (content: string) => boolean,
  ): Promise<void> {
    const items = input.map(
      (line) =>
        JSON.parse(line) as { custom_id: string; body: { messages: { content: string }[] } },
    );
    const idsWhere = (failed: boolean): string[] =>
      items
        .filter(({ body }) => fails(body.messages[0]?.content ?? '') === failed)
        .map((item) => item.custom_id);
    const idsIn = async (kind: ResultKind): Promise<string[]> =>
      (await this.readResults(job, kind)).map((line) => line.custom_id);
    assert.deepEqual(await idsIn('output'), idsWhere(false));
    assert.deepEqual(await idsIn('error'), idsWhere(true));
  }
}
