import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { MemoryObjects } from '@jacinthlug/batch/testing/MemoryObjects';
import type { VersionedJob } from '@jacinthlug/serving/batch/JobCache';
import {
  inputKey,
  inputRange,
  jobKey,
  JOBS_TABLE,
  KEY_FORMATS,
  listJobRanges,
  progressKey,
  progressRange,
  resultKey,
  resultRange,
} from '@jacinthlug/serving/batch/jobKeys';
import { identifyJob } from '@jacinthlug/serving/batch/JobRecord';
import type { RecordKey, RecordRange } from '@jacinthlug/serving/store/RecordStore';
import fc from 'fast-check';
import type { Result } from 'neverthrow';
import { createJobHost, type JobHost } from '../fakes/createJobHost.js';
import { MAX_KEY_BYTES, MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

/** Seed of the random names, so that each run checks the same ones. */
const SEED = 59;

const RUNS = 2000;

/** Maximum number of items of a job. */
const MAX_ITEMS = 200;

interface Names {
  readonly account: string;
  readonly id: string;
}

/** Parts of names that are likely to join to the same text as others. */
const namePart = fc.constantFrom(
  ...[
    'a',
    'b',
    '0',
    '1',
    '/',
    '//',
    '/00000',
    '/00001',
    '%',
    '%2F',
    '%002f',
    '002f',
    '.',
    '..',
    ' ',
  ],
  ...['\t', '\0', '\u007f', 'é', '\u{1F600}', '\uD800', '"', ',', '-', '~'],
);

const shortName = fc.array(namePart, { minLength: 1, maxLength: 4 }).map((parts) => parts.join(''));

/** Lengths near those from which a name is replaced by its digest, and the longest one that a head can hold. */
const longName = fc
  .tuple(fc.oneof(fc.integer({ min: 40, max: 210 }), fc.constant(16_000)), shortName)
  .map(([length, end]) => 'n'.repeat(length) + end);

const name = fc.oneof({ weight: 4, arbitrary: shortName }, { weight: 1, arbitrary: longName });

const names: fc.Arbitrary<Names> = fc.record(
  { account: name, id: name },
  { noNullPrototype: true },
);

/** Two different jobs, which are likely to have similar names. */
const twoJobs = fc
  .oneof(
    fc.tuple(names, names),
    // The second id continues the first one.
    fc.tuple(names, name).map(([job, rest]) => [job, { ...job, id: job.id + rest }] as const),
    // Both join to the same text by a slash.
    fc.tuple(name, name, name).map(
      ([a, b, c]) =>
        [
          { account: a, id: `${b}/${c}` },
          { account: `${a}/${b}`, id: c },
        ] as const,
    ),
  )
  .filter(([first, second]) => identifyJob(first) !== identifyJob(second));

const listKeys = ({ account, id }: Names): RecordKey[] => {
  const job = jobKey(account, id);
  const indexes = [0, 1, 2, MAX_ITEMS - 1];
  return [
    job,
    ...indexes.flatMap((index) => [
      resultKey(job, index),
      progressKey(job, index),
      inputKey(job, index),
    ]),
  ];
};

const listRanges = ({ account, id }: Names): RecordRange[] => {
  const job = jobKey(account, id);
  return [progressRange(job), inputRange(job), resultRange(job, 0, MAX_ITEMS)];
};

const compareBytes = (a: string, b: string): number =>
  Buffer.compare(Buffer.from(a), Buffer.from(b));

/** Checks whether a key is in a range, in the order of a store that compares bytes. The partition is left aside. */
const contains = ({ table, from, to }: RecordRange, { table: keyTable, key }: RecordKey): boolean =>
  table === keyTable && compareBytes(key, from!) >= 0 && compareBytes(key, to!) < 0;

const identifyKey = ({ table, key }: RecordKey): string => JSON.stringify([table, key]);

Then('this holds for any two jobs of any accounts', function () {
  fc.assert(
    fc.property(twoJobs, ([first, second]) => {
      const ownKeys = listKeys(first);
      const otherKeys = listKeys(second);
      assert.ok(ownKeys.every(({ key }) => Buffer.byteLength(key) <= MAX_KEY_BYTES));
      const own = new Set(ownKeys.map(identifyKey));
      assert.ok(otherKeys.every((key) => !own.has(identifyKey(key))));
      listRanges(first).forEach((range) => {
        const keys = ownKeys.filter(({ table }) => table === range.table);
        assert.ok(keys.every((key) => contains(range, key)));
        assert.ok(!otherKeys.some((key) => contains(range, key)));
      });
      const [accountRange] = listJobRanges(first.account);
      assert.ok(contains(accountRange!, jobKey(first.account, first.id)));
      const isOther = first.account !== second.account;
      assert.ok(!isOther || !contains(accountRange!, jobKey(second.account, second.id)));
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

Then('this holds for any range of any job', function () {
  const position = fc.nat({ max: MAX_ITEMS });
  fc.assert(
    fc.property(names, position, position, ({ account, id }, first, second) => {
      const [from, to] = [Math.min(first, second), Math.max(first, second)];
      const job = jobKey(account, id);
      const range = resultRange(job, from, to);
      const positions = Array.from({ length: MAX_ITEMS }, (_, each) => each);
      const inRange = positions
        .map((each) => ({ each, key: resultKey(job, each) }))
        .filter(({ key }) => contains(range, key))
        .sort((a, b) => compareBytes(a.key.key, b.key.key))
        .map(({ each }) => each);
      assert.deepEqual(inRange, positions.slice(from, to));
    }),
    { seed: SEED, numRuns: RUNS / 10 },
  );
});

const ITEMS = 3;

const createItemId = ({ account, id }: Names, index: number): string =>
  JSON.stringify([account, id, index]);

const createItems = (job: Names) =>
  Array.from({ length: ITEMS }, (_, index) => ({
    id: createItemId(job, index),
    path: '/x/',
    headers: {},
    body: '',
    tokens: 1,
  }));

const { signal } = new AbortController();

const valueOf = <Value, Failure>(result: Result<Value, Failure>): Value => {
  assert.ok(result.isOk());
  return result.value;
};

const findJob = async (host: JobHost, { account, id }: Names): Promise<VersionedJob> => {
  const found = await host.jobs.find(account, id, false, signal);
  const job = valueOf(found);
  assert.ok(job);
  return job;
};

/** Accepts a job, stores the results of two items in reverse order, and saves the output of the others. */
const runJob = async (host: JobHost, job: Names): Promise<void> => {
  const submission = { ...job, route: 'r', configuration: 1, host: 'x', waitingTokens: 0 };
  const accepted = await host.jobs.accept({ ...submission, items: createItems(job) }, null, signal);
  assert.ok(accepted.isOk());
  const outputs = Array.from({ length: ITEMS }, (_, index) => {
    const output = { lastEventId: '1', data: [createItemId(job, index)] };
    return [index, output] as const;
  });
  assert.ok((await host.progress.save(await findJob(host, job), outputs)).isOk());
  for (const index of [1, 0]) {
    const item = createItemId(job, index);
    const result = { index, item, state: 'completed' as const, text: item, hasProgress: true };
    assert.ok((await host.jobs.appendResults(await findJob(host, job), [result])).isOk());
  }
};

/** Reads everything of a job, and checks that it is its own. */
const checkJob = async (host: JobHost, job: Names): Promise<void> => {
  const found = await findJob(host, job);
  assert.deepEqual({ account: found.record.account, id: found.record.id }, job);
  const results = await host.jobs.readResults(found, 0, signal);
  assert.deepEqual(
    valueOf(results).map(({ item, text }) => [item, text]),
    [1, 0].map((index) => [createItemId(job, index), createItemId(job, index)]),
  );
  const outputs = await host.progress.load(found);
  assert.deepEqual(
    [...valueOf(outputs)].map(([index, { data }]) => [index, data]),
    [[2, [createItemId(job, 2)]]],
  );
  assert.deepEqual(valueOf(await host.jobs.loadInput(found)), createItems(job));
};

Then('this holds for any two jobs that hosts of any versions have accepted', async function () {
  const format = fc.constantFrom(...KEY_FORMATS);
  await fc.assert(
    fc.asyncProperty(
      twoJobs,
      fc.tuple(format, format, format),
      async ([first, second], formats) => {
        const store = new MemoryRecordStore();
        const objects = new MemoryObjects();
        const [firstHost, secondHost, reader] = formats.map((each) =>
          createJobHost({ store, objects }, each),
        );
        await runJob(firstHost!, first);
        await runJob(secondHost!, second);
        await checkJob(reader!, first);
        await checkJob(reader!, second);
        await reader!.jobs.remove(await findJob(reader!, first));
        await checkJob(createJobHost({ store, objects }, formats[0]), second);
        await reader!.jobs.remove(await findJob(reader!, second));
        assert.equal(store.countRows(JOBS_TABLE), 0);
        const tables = new Set([...store.rows.values()].map(({ table }) => table));
        assert.deepEqual([...tables], ['admissions']);
      },
    ),
    { seed: SEED, numRuns: RUNS / 4 },
  );
});
