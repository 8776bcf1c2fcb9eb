/** `npm run measure:fleet`: measures idle fleets and batch jobs, each at three sizes. */
import { fitLine, type Point } from './measure/fitLine.js';
import {
  measureIdle,
  measureJob,
  withFleet,
  type IdleCost,
  type JobCost,
} from './measure/measureFleet.js';

const ENGINE_COUNTS = [3, 8, 18];
const ITEM_COUNTS = [1000, 4000, 16_000];
const ITEMS_PER_CHUNK = 100;

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const formatNumber = (value: number): string => value.toPrecision(3);

const printFit = (name: string, points: readonly Point[]): void => {
  const { intercept, slope, spread } = fitLine(points);
  printLine(
    `| ${name} | ${formatNumber(intercept)} | ${formatNumber(slope)} | ${Math.round(spread * 100)}% |`,
  );
};

const printFits = (idle: readonly IdleCost[], jobs: readonly JobCost[]): void => {
  const byEngines = (read: (cost: IdleCost) => number): Point[] =>
    idle.map((cost) => ({ size: cost.engines, value: read(cost) }));
  const byChunks = (read: (cost: JobCost) => number): Point[] =>
    jobs.map((cost) => ({ size: cost.items / ITEMS_PER_CHUNK, value: read(cost) }));
  printLine('');
  printLine('| fit | base | slope | spread |');
  printLine('| --- | --- | --- | --- |');
  printFit(
    'idle table reads/s by engines',
    byEngines(({ table }) => table.reads),
  );
  printFit(
    'idle table writes/s by engines',
    byEngines(({ table }) => table.writes),
  );
  printFit(
    'idle entry host, % of a core, by engines',
    byEngines((cost) => cost.entryCpuPercent),
  );
  printFit(
    'idle agent, % of a core, by engines',
    byEngines((cost) => cost.agentCpuPercent),
  );
  printFit(
    'table reads of a job by chunks',
    byChunks(({ table }) => table.reads),
  );
  printFit(
    'table writes of a job by chunks',
    byChunks(({ table }) => table.writes),
  );
};

printLine('| engines | reads/s | writes/s | entry %core | agent %core | entry MiB | agent MiB |');
printLine('| --- | --- | --- | --- | --- | --- | --- |');
const idle: IdleCost[] = [];
const jobs: JobCost[] = [];
for (const engines of ENGINE_COUNTS) {
  await withFleet(engines, async (fleet) => {
    const cost = await measureIdle(fleet);
    idle.push(cost);
    const { table, entryCpuPercent, agentCpuPercent, entryMib, agentMib } = cost;
    const cells = [table.reads, table.writes, entryCpuPercent, agentCpuPercent, entryMib, agentMib];
    printLine(`| ${engines} | ${cells.map(formatNumber).join(' | ')} |`);
    if (engines !== ENGINE_COUNTS[1]) return;
    for (const items of ITEM_COUNTS) jobs.push(await measureJob(fleet, items, table));
  });
}
printLine('');
printLine('| items | s | reads | writes |');
printLine('| --- | --- | --- | --- |');
jobs.forEach(({ items, seconds, table }) => {
  printLine(
    `| ${items} | ${formatNumber(seconds)} | ${formatNumber(table.reads)} | ${formatNumber(table.writes)} |`,
  );
});
printFits(idle, jobs);
