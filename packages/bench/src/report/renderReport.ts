/** Renders a report as Markdown with a text chart. */
import type { Experiment } from '../experiment/experiment.js';
import { metricNames, metrics, type MetricName } from './metrics.js';
import type { RunFigures } from './RunFigures.js';
import { computeRatioSpread, computeSpread, type Spread } from './spread.js';

/** All runs of an experiment. */
export interface Report {
  readonly experiment: Experiment;
  /** Figures by variant, one per round. */
  readonly runs: Readonly<Record<string, readonly RunFigures[]>>;
}

const BAR_LENGTH = 40;
const RATIO_DIGITS = 2;

const formatSpread = (spread: Spread | undefined, digits: number): string => {
  if (!spread) return '–';
  const [median, min, max] = [spread.median, spread.min, spread.max].map((value) =>
    value.toFixed(digits),
  );
  return min === max ? `${median}` : `${median} (${min}–${max})`;
};

const renderRow = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;

const renderTable = (head: readonly string[], rows: readonly (readonly string[])[]): string =>
  [renderRow(head), renderRow(head.map(() => '---')), ...rows.map(renderRow)].join('\n');

const getValues = (runs: readonly RunFigures[], name: MetricName): (number | undefined)[] =>
  runs.map((run) => run.metrics[name]);

const getDefinedValues = (runs: readonly RunFigures[], name: MetricName): number[] =>
  getValues(runs, name).filter((value) => value !== undefined);

const formatLabel = (name: MetricName): string => {
  const { title, unit } = metrics[name];
  return unit === '' ? title : `${title} (${unit})`;
};

const renderMetrics = ({ runs }: Report): string => {
  const variants = Object.entries(runs);
  const others = variants.slice(1);
  // A variant without online requests or batch jobs lacks some metrics and can't be their base.
  const findBase = (name: MetricName) =>
    variants.find(([, own]) => getDefinedValues(own, name).length > 0)?.[1] ?? [];
  const rows = metricNames
    .filter((name) => variants.some(([, own]) => getDefinedValues(own, name).length > 0))
    .map((name) => [
      formatLabel(name),
      ...variants.map(([, own]) =>
        formatSpread(computeSpread(getDefinedValues(own, name)), metrics[name].digits),
      ),
      ...others.map(([, own]) => {
        const base = findBase(name);
        if (own === base) return 'base';
        return formatSpread(
          computeRatioSpread(getValues(own, name), getValues(base, name)),
          RATIO_DIGITS,
        );
      }),
    ]);
  const heads = [...variants.map(([name]) => name), ...others.map(([name]) => `ratio, ${name}`)];
  return renderTable(['metric', ...heads], rows);
};

const renderChart = ({ runs }: Report): string => {
  const variants = Object.entries(runs);
  const width = Math.max(...variants.map(([name]) => name.length));
  const blocks = metricNames
    .filter((name) => metrics[name].isCharted)
    .flatMap((name) => {
      const medians = variants.map(([, own]) => computeSpread(getDefinedValues(own, name))?.median);
      const maxMedian = Math.max(...medians.map((median) => median ?? 0));
      if (maxMedian === 0) return [];
      const bars = variants.map(([variant], index) => {
        const median = medians[index];
        const bar = '#'.repeat(Math.round(((median ?? 0) / maxMedian) * BAR_LENGTH));
        const value = median === undefined ? '–' : median.toFixed(metrics[name].digits);
        return `  ${variant.padEnd(width)} ${bar.padEnd(BAR_LENGTH)} ${value}`;
      });
      return [[formatLabel(name), ...bars].join('\n')];
    });
  return ['```text', blocks.join('\n\n'), '```'].join('\n');
};

const renderCodes = ({ runs }: Report): string => {
  const variants = Object.entries(runs);
  const codes = [
    ...new Set(variants.flatMap(([, own]) => own.flatMap((run) => Object.keys(run.codes)))),
  ].sort();
  if (codes.length === 0) return 'None.';
  const rows = codes.map((code) => [
    `\`${code}\``,
    ...variants.map(([, own]) =>
      formatSpread(computeSpread(own.map((run) => run.codes[code] ?? 0)), 0),
    ),
  ]);
  return renderTable(['ending', ...variants.map(([name]) => name)], rows);
};

const renderAccounts = ({ runs }: Report): string => {
  const rows = Object.entries(runs).flatMap(([variant, own]) => {
    const names = [
      ...new Set(own.flatMap((run) => run.accounts.map(({ account }) => account))),
    ].sort();
    return names.map((name) => {
      const figures = own.flatMap((run) => run.accounts.filter(({ account }) => account === name));
      const cell = (values: readonly number[], digits: number) =>
        formatSpread(computeSpread(values), digits);
      return [
        variant,
        name,
        String(figures[0]?.weight ?? ''),
        cell(
          figures.map(({ sent }) => sent),
          0,
        ),
        cell(
          figures.map(({ withinRate }) => withinRate),
          0,
        ),
        cell(
          figures.map(({ endings }) => endings.refused),
          0,
        ),
        cell(
          figures.flatMap(({ served, due }) => (due > 0 ? served / due : [])),
          RATIO_DIGITS,
        ),
        cell(
          figures.flatMap(({ firstTokenP99 }) => firstTokenP99 ?? []),
          0,
        ),
      ];
    });
  });
  return renderTable(
    [
      'variant',
      'account',
      'weight',
      'sent',
      'within rate',
      'refused',
      'served / due',
      'first token 99th (ms)',
    ],
    rows,
  );
};

/**
 * Renders a report.
 *
 * @param report - all runs of an experiment
 * @returns the report as Markdown
 */
export const renderReport = (report: Report): string => {
  const { name, question, deployment, seed, durationMs, warmUpMs, rounds } = report.experiment;
  return [
    `# ${name}`,
    question,
    [
      `Deployment \`${deployment}\`, seed ${seed}, ${durationMs} ms of load of which the first`,
      `${warmUpMs} ms are not counted, rounds: ${rounds}. Each value is the median over the rounds,`,
      'with the range in parentheses; ratios to the first variant that has the metric are taken round by',
      'round.',
    ].join('\n'),
    '## Metrics',
    renderMetrics(report),
    '## Chart of medians',
    renderChart(report),
    '## Refusals, truncated streams and missing responses',
    renderCodes(report),
    '## Accounts',
    'The due share divides the tokens served by weight. The part of a share that exceeds the demand of\nan account within its rate is divided among the others.',
    renderAccounts(report),
    '',
  ].join('\n\n');
};
