/** `npm run measure:capacity`: measures the slopes of docs/CAPACITY.md and prints them as Markdown. */
import { experiments, measureConstants } from './measure/experiments.js';
import { runExperiment } from './measure/Measurement.js';

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const round = (value: number): string => value.toPrecision(3);

say('| mechanism | size | unit | points | base | slope | spread |');
say('| --- | --- | --- | --- | --- | --- | --- |');
for (const experiment of experiments) {
  const { name, size, unit, points, line } = await runExperiment(experiment);
  const listed = points.map((point) => `${point.size}: ${round(point.value)}`).join(', ');
  const cells = [name, size, unit, listed, round(line.base), round(line.slope)];
  say(`| ${cells.join(' | ')} | ${Math.round(line.spread * 100)}% |`);
}
const { watch, load } = await measureConstants();
say('');
say('| call, both ends together | bytes | us of processor time |');
say('| --- | --- | --- |');
say(`| unchanged configuration.watch | ${round(watch.bytes)} | ${round(watch.processorMicros)} |`);
say(`| load.report | ${round(load.bytes)} | ${round(load.processorMicros)} |`);
