/** Catalogue of the metrics of a run. */

/** How the report shows a metric. */
export interface Metric {
  readonly title: string;
  readonly unit: string;
  /** Number of decimal places. */
  readonly digits: number;
  /** Whether the text chart shows it. */
  readonly isCharted: boolean;
}

const createTimeMetric = (title: string, isCharted = false): Metric => ({
  title,
  unit: 'ms',
  digits: 1,
  isCharted,
});

const createCountMetric = (title: string): Metric => ({
  title,
  unit: '',
  digits: 0,
  isCharted: false,
});

/** Metrics by name, in the order of the report. */
export const metrics = {
  firstTokenP50: createTimeMetric('first token, 50th'),
  firstTokenP95: createTimeMetric('first token, 95th'),
  firstTokenP99: createTimeMetric('first token, 99th', true),
  betweenTokensP50: createTimeMetric('between tokens, 50th'),
  betweenTokensP95: createTimeMetric('between tokens, 95th'),
  betweenTokensP99: createTimeMetric('between tokens, 99th', true),
  wholeP50: createTimeMetric('total time, 50th'),
  wholeP99: createTimeMetric('total time, 99th'),
  sent: createCountMetric('online requests'),
  completed: createCountMetric('completed'),
  refused: createCountMetric('refused'),
  refusedWithinRate: createCountMetric('refused although within rate'),
  cut: createCountMetric('truncated streams'),
  unanswered: createCountMetric('unanswered'),
  tokensPerSecond: {
    title: 'online tokens served',
    unit: '1/s',
    digits: 0,
    isCharted: true,
  },
  worstServed: {
    title: 'worst-served account, served / due share',
    unit: '',
    digits: 3,
    isCharted: true,
  },
  cachedShare: {
    title: 'prompt tokens found in the prefix cache',
    unit: '%',
    digits: 1,
    isCharted: false,
  },
  batchItemsPerSecond: { title: 'batch items', unit: '1/s', digits: 1, isCharted: true },
  batchItemsCancelled: createCountMetric('batch item runs cancelled'),
  jobsCompleted: createCountMetric('jobs completed'),
  jobsLate: createCountMetric('jobs late'),
  sendLagP99: createTimeMetric('lag of the load generator, 99th'),
} as const satisfies Record<string, Metric>;

/** Name of a metric. */
export type MetricName = keyof typeof metrics;

/** Names in the order of the report. */
export const metricNames = Object.keys(metrics) as MetricName[];
