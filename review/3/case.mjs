/** A batch route is split between two services, and the engines of the first one are taken away. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BatchClient, createBatchRoute, createConfiguration } from '../kit/batch.mjs';
import { Engine } from '../kit/Engine.mjs';
import { Machine } from '../kit/Machine.mjs';
import { RESULTS, runCase } from '../kit/runCase.mjs';
import { Store } from '../kit/Store.mjs';

const KEYS = { tenant: 'key-of-the-tenant' };

const FIRST = 'writer';
const SECOND = 'writer-new';

/** Engines of each service: two of sixteen are one in eight, and `scale_in` takes up to 0.13. */
const ENGINES = { [FIRST]: 2, [SECOND]: 14 };

/** `config_apply_ms`, and a second more. Unit: ms. */
const APPLIED_MS = 3000;

/** How long an engine goes on after it has reported that it is draining: `drain_ms` and a little longer. Unit: ms. */
const DRAIN_MS = 2500;

/** Time after which all items are listed, `finish_s`. Unit: ms. */
const FINISH_MS = 18_000;

/** Time in which nothing may run before the check. Unit: s. */
const CALM_S = 5;

const listItems = (job) => Array.from({ length: 10 }, (_, index) => `${job}-${index}`);

await runCase(import.meta.url, async ({ folder, record, hasTrouble, use }) => {
  const store = use(new Store());
  const address = await store.start();
  const machines = ['front-1', 'front-2'].map((name) =>
    use(new Machine({ name, folder, store: address, record })),
  );
  const createEngines = (service) =>
    Array.from({ length: ENGINES[service] }, (_, index) =>
      use(new Engine({ id: `${service}-engine-${index + 1}`, store, record, service })),
    );
  const first = createEngines(FIRST);
  const second = createEngines(SECOND);
  const engines = [...first, ...second];
  const client = new BatchClient(record, 'client', KEYS.tenant);
  const put = (version, route) => {
    const routes = [
      createBatchRoute('split', '/split/', route),
      createBatchRoute('plain', '/plain/', { service: SECOND }),
    ];
    store.put('op', 'config', createConfiguration(version, routes, KEYS, [FIRST, SECOND]));
    record.add(
      `operator: version ${version} is acknowledged, "split" has ${JSON.stringify(route)}`,
    );
  };

  put(1, { service: FIRST });
  await Promise.all(engines.map((engine) => engine.start()));
  await Promise.all(machines.map((machine) => machine.start()));
  await Promise.all(machines.map((machine) => machine.untilReady()));
  const weights = { [FIRST]: 50, [SECOND]: 50 };
  const backends = Object.entries(weights).map(([service, weight]) => ({ service, weight }));
  put(2, { service: undefined, backends });
  await sleep(APPLIED_MS);

  const before = listItems('before');
  await client.submit(machines[0], '/split/', 'before', before);
  const results = await client.read(machines[1], 'before', before.length, FINISH_MS);
  if (results.length < before.length) return RESULTS.notRun;

  if (hasTrouble) {
    record.add('disruption: the 2 engines of the first service are emptied and taken away');
    await Promise.all(first.map((engine) => engine.leave(DRAIN_MS)));
  }
  await sleep(APPLIED_MS);
  const split = listItems('split');
  const plain = listItems('plain');
  await client.submit(machines[0], '/split/', 'split', split);
  await client.submit(machines[0], '/plain/', 'plain', plain);
  await sleep(FINISH_MS);
  const plainResults = await client.read(machines[1], 'plain', plain.length, 0);
  const splitResults = await client.read(machines[1], 'split', split.length, 0);
  const runs = engines.flatMap((engine) => engine.runs);
  const lastRunAt = Math.max(...runs.map(({ at }) => at));
  record.add(
    `check: ${plainResults.length} of 10 items of the job on "plain" and ${splitResults.length} of 10 on "split" are listed`,
  );
  record.add(
    `check: ${runs.filter(({ id }) => split.includes(id)).length} runs of items of "split"; the last run of any item ` +
      `began at ${lastRunAt.toFixed(3)}`,
  );
  if (plainResults.length < plain.length) return RESULTS.notRun;
  if (splitResults.length === split.length) return RESULTS.held;
  return record.now - lastRunAt > CALM_S ? RESULTS.broken : RESULTS.notRun;
});
