/** `npm run measure:fleet`: cost of idle fleets of three sizes and of batch jobs of three sizes. */
import { fitLine, type Point } from './measure/fitLine.js';
import {
  measureIdle,
  measureJob,
  withFleet,
  type IdleCost,
  type JobCost,
} from './measure/measureFleet.js';

const FLEET_ENGINES = [3, 8, 18];
const JOB_ITEMS = [1000, 4000, 16_000];
const ITEMS_PER_CHUNK = 100;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const round = (value: number): string => value.toPrecision(3);

const sayLine = (name: string, points: readonly Point[]): void => {
  const { base, slope, spread } = fitLine(points);
  say(`| ${name} | ${round(base)} | ${round(slope)} | ${Math.round(spread * 100)}% |`);
};

const sayFits = (idle: readonly IdleCost[], jobs: readonly JobCost[]): void => {
  const byEngines = (read: (cost: IdleCost) => number): Point[] =>
    idle.map((cost) => ({ size: cost.engines, value: read(cost) }));
  const byChunks = (read: (cost: JobCost) => number): Point[] =>
    jobs.map((cost) => ({ size: cost.items / ITEMS_PER_CHUNK, value: read(cost) }));
  say('');
  say('| fit | base | slope | spread |');
  say('| --- | --- | --- | --- |');
  sayLine(
    'idle table reads/s by engines',
    byEngines(({ table }) => table.reads),
  );
  sayLine(
    'idle table writes/s by engines',
    byEngines(({ table }) => table.writes),
  );
  sayLine(
    'idle entry host, % of a core, by engines',
    byEngines((cost) => cost.entryProcessor),
  );
  sayLine(
    'idle agent, % of a core, by engines',
    byEngines((cost) => cost.agentProcessor),
  );
  sayLine(
    'table reads of a job by chunks',
    byChunks(({ table }) => table.reads),
  );
  sayLine(
    'table writes of a job by chunks',
    byChunks(({ table }) => table.writes),
  );
};

say('| engines | reads/s | writes/s | entry %core | agent %core | entry MiB | agent MiB |');
say('| --- | --- | --- | --- | --- | --- | --- |');
const idle: IdleCost[] = [];
const jobs: JobCost[] = [];
for (const engines of FLEET_ENGINES) {
  await withFleet(engines, async (fleet) => {
    const cost = await measureIdle(fleet);
    idle.push(cost);
    const { table, entryProcessor, agentProcessor, entryMib, agentMib } = cost;
    const cells = [table.reads, table.writes, entryProcessor, agentProcessor, entryMib, agentMib];
    say(`| ${engines} | ${cells.map(round).join(' | ')} |`);
    if (engines !== FLEET_ENGINES[1]) return;
    for (const items of JOB_ITEMS) jobs.push(await measureJob(fleet, items, table));
  });
}
say('');
say('| items | s | reads | writes |');
say('| --- | --- | --- | --- |');
jobs.forEach(({ items, seconds, table }) => {
  say(`| ${items} | ${round(seconds)} | ${round(table.reads)} | ${round(table.writes)} |`);
});
sayFits(idle, jobs);
