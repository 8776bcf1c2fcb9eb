/** `npm run measure:capacity`: measures the costs in docs/CAPACITY.md and prints Markdown tables. */
import { experiments, measureFixedCosts } from './measure/experiments.js';
import { runExperiment } from './measure/Measurement.js';

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const formatNumber = (value: number): string => value.toPrecision(3);

printLine('| mechanism | size | unit | points | base | slope | spread |');
printLine('| --- | --- | --- | --- | --- | --- | --- |');
for (const experiment of experiments) {
  const { name, size, unit, points, line } = await runExperiment(experiment);
  const pointList = points.map((point) => `${point.size}: ${formatNumber(point.value)}`).join(', ');
  const cells = [
    name,
    size,
    unit,
    pointList,
    formatNumber(line.intercept),
    formatNumber(line.slope),
  ];
  printLine(`| ${cells.join(' | ')} | ${Math.round(line.spread * 100)}% |`);
}
const { watch, load } = await measureFixedCosts();
printLine('');
printLine('| call, both ends together | bytes | us of processor time |');
printLine('| --- | --- | --- |');
printLine(
  `| unchanged configuration.watch | ${formatNumber(watch.bytes)} | ${formatNumber(watch.cpuMicros)} |`,
);
printLine(`| load.report | ${formatNumber(load.bytes)} | ${formatNumber(load.cpuMicros)} |`);
