/** Two batch jobs, one of whose ids continues the other's, and a host that is killed; each result has to be its item's output. */
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Record } from '../kit-2/record.mjs';
import {
  call,
  createId,
  createItems,
  Deployment,
  hasTrouble,
  keyOf,
  submit,
  calls,
} from '../kit-2/world.mjs';

/** Items of a job: the mean of the sheet. */
const ITEMS = 10;

/** Time after the 202 at which the host is killed. Unit: ms. */
const KILL_AFTER_MS = 3500;

const FINISH_TIME_MS = 60_000;

const EVENTS = 247;

const record = new Record(fileURLToPath(new URL('record.txt', import.meta.url)));
const deployment = new Deployment();
let verdict = 2;
try {
  await deployment.start({
    hostZones: ['bilbao', 'santander'],
    engineCount: 4,
    engineOptions: { events: EVENTS, eventMs: 25 },
  });
  const { hosts } = deployment;
  const day = createId();
  const jobs = [day, `${day}/2`].map((id) => ({ id, items: createItems(ITEMS, 100), results: [] }));
  const statuses = [];
  for (const { id, items } of jobs) {
    const { status } = await submit(hosts[0], 'kaje80', id, items);
    statuses.push(status);
    record.add(`batch job ${id} at ${hosts[0].name}: ${status}`);
  }
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) {
    hosts[0].signal('SIGKILL');
    record.add(`${hosts[0].name} was killed`);
  }
  const endAt = performance.now() + FINISH_TIME_MS;
  const isOpen = ({ results }) => results.length < ITEMS;
  while (jobs.some(isOpen) && performance.now() < endAt) {
    for (const job of jobs.filter(isOpen)) {
      const path = `/api/lots/${encodeURIComponent(job.id)}?after=${job.results.length}`;
      const page = await call(hosts[1], { path, key: keyOf('kaje80') });
      if (page.status === 200) job.results.push(...JSON.parse(page.body).results);
    }
    await sleep(500);
  }
  let wrong = 0;
  jobs.forEach(({ id, items, results }) => {
    const own = new Set(items.map((item) => item.id));
    results.forEach((result, position) => {
      const expected = Array.from({ length: EVENTS }, (_, index) => `${result.id} ${index + 1}`);
      const isSound =
        own.has(result.id) && (result.state !== 'completed' || result.text === expected.join('\n'));
      if (isSound) return;
      wrong += 1;
      const lines = result.text.split('\n');
      const foreign = lines.filter((line) => !line.startsWith(`${result.id} `));
      record.add(
        `job ${id}, position ${position}: item ${result.id} ${result.state}, ${lines.length} events, ` +
          `${foreign.length} of another item, such as "${foreign[0]}"`,
      );
    });
    record.add(`job ${id}: ${results.length} of ${ITEMS} results`);
  });
  const accepted = statuses.every((status) => status === 202);
  if (accepted && jobs.every(({ results }) => results.length > 0)) verdict = wrong > 0 ? 1 : 0;
} catch (error) {
  record.add(`could not run: ${error.stack}`);
} finally {
  await deployment.stop();
}
record.add(['held', 'broken', 'could not run'][verdict]);
record.addTraffic(calls, deployment.engines);
await record.save();
// Ends connections that are still open.
// eslint-disable-next-line n/no-process-exit
process.exit(verdict);
