/** A batch route is split between two services, and the first of them loses its only engine for good. */
import { setTimeout as sleep } from 'node:timers/promises';
import { BatchClient, createBatchRoute, createConfiguration } from '../kit/batch.mjs';
import { Engine } from '../kit/Engine.mjs';
import { Machine } from '../kit/Machine.mjs';
import { RESULTS, runCase } from '../kit/runCase.mjs';
import { Store } from '../kit/Store.mjs';

const KEY = 'i9n73hh2b9wu3fexd9dn';
const JOB = '7c41e09b52d6a3f8';
const PREFIX = '/survey/';

/** Time after which the entry of a silent engine lapses: three intervals of its heartbeat. Unit: ms. */
const LAPSE_MS = 3600;

/** `finish_s`. Unit: ms. */
const FINISH_MS = 18_000;

/** Time at the end in which no engine may have had an item. Unit: s. */
const CALM_S = 5;

await runCase(import.meta.url, async ({ folder, record, hasTrouble, use }) => {
  const store = use(new Store());
  const address = await store.start();
  const split = createBatchRoute('survey', PREFIX, {
    service: undefined,
    backends: [
      { service: 'writer-next', weight: 10 },
      { service: 'writer', weight: 90 },
    ],
  });
  store.put(
    'op',
    'config',
    createConfiguration(1, [split], { kaje80: KEY }, ['writer-next', 'writer']),
  );
  const next = use(new Engine({ id: 'i-next', store, record, service: 'writer-next' }));
  const others = [1, 2, 3, 4, 5].map((number) =>
    use(new Engine({ id: `i-${number}`, store, record, service: 'writer' })),
  );
  const engines = [next, ...others];
  await Promise.all(engines.map((engine) => engine.start()));
  const machines = [1, 2, 3].map((number) =>
    use(
      new Machine({
        name: `front-${number}`,
        folder,
        store: address,
        record,
        zone: `zone-${number}`,
      }),
    ),
  );
  for (const machine of machines) await machine.start();
  await Promise.all(machines.map((machine) => machine.untilReady()));
  await sleep(3000);

  if (hasTrouble) {
    record.add('i-next, one of six engines, is lost for good');
    next.stop();
    await sleep(LAPSE_MS);
    store.drop('servers', 'i-next');
    record.add('the entry of i-next has lapsed');
  }
  await sleep(4000);
  const [first, second] = machines;
  if (!first || !second) return RESULTS.notRun;
  const client = new BatchClient(record, 'kaje80', KEY);
  const items = Array.from({ length: 10 }, (_, index) => `e${index}b2907c14da6f38`);
  await client.submit(first, PREFIX, JOB, items);
  const results = await client.read(second, JOB, items.length, FINISH_MS);
  const runs = engines.flatMap((engine) => engine.runs);
  const lateRuns = runs.filter(({ at }) => at > record.now - CALM_S).length;
  record.add(
    `${FINISH_MS / 1000} s after the 202 ${results.length} of ${items.length} items are listed; engines ran ${runs.length}, ${lateRuns} of them in the last ${CALM_S} s`,
  );
  return results.length < items.length && lateRuns === 0 ? RESULTS.broken : RESULTS.held;
});
