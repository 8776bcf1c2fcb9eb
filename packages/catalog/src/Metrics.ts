/** Counters and histograms, kept in the process and sent to StatsD with hot-shots. */
import { StatsD } from 'hot-shots';
import type { CounterName, TimingName } from './counterNames.js';

/** Metrics of a process. */
export interface Metrics {
  /**
   * Adds to a counter.
   *
   * @param name - name in the catalogue
   * @param tags - values of the tags that the catalogue lists for the counter
   * @param by - increment
   */
  count(name: CounterName, tags?: Readonly<Record<string, string>>, by?: number): void;

  /**
   * Adds an observation to a histogram.
   *
   * @param name - name in the catalogue
   * @param ms - measured time. Unit: ms
   */
  observe(name: TimingName, ms: number): void;

  /**
   * Returns the totals since the start of the process.
   *
   * @returns totals by counter name and tags, such as `requests.refused{code=overloaded}`; for each
   *   histogram the number of observations up to each bound, such as `requests.first{le=100}`, and
   *   their sum, such as `requests.first.sum`
   */
  totals(): Readonly<Record<string, number>>;

  /** Flushes the buffer and closes the socket. */
  close(): void;
}

/** Upper bounds of the histogram buckets, around the usual objectives and timeouts of chats. Unit: ms. */
const HISTOGRAM_BOUNDS_MS = [10, 25, 50, 100, 200, 300, 500, 1000, 2000, 5000, 15_000];

/** Address of a StatsD server. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

/** Labels of the buckets of each histogram, cached because every observation needs them all. */
const labelsByHistogram = new Map<string, readonly (readonly [number, string])[]>();

const formatLabel = (name: string, tags: Readonly<Record<string, string>>): string => {
  const pairs = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
};

const getHistogramLabels = (name: string): readonly (readonly [number, string])[] => {
  const cached = labelsByHistogram.get(name);
  if (cached) return cached;
  const labels = [
    ...HISTOGRAM_BOUNDS_MS.map(
      (bound) => [bound, formatLabel(name, { le: String(bound) })] as const,
    ),
    [Number.POSITIVE_INFINITY, formatLabel(name, { le: 'inf' })] as const,
  ];
  labelsByHistogram.set(name, labels);
  return labels;
};

/**
 * Opens the metrics of a process.
 *
 * @param processName - value of the `process` tag
 * @param statsd - StatsD server; without it only the totals are kept
 * @returns the metrics
 */
export const openMetrics = (processName: string, statsd?: StatsdAddress): Metrics => {
  const client = statsd
    ? new StatsD({
        host: statsd.host,
        port: statsd.port,
        prefix: 'jacinthlug.',
        globalTags: { process: processName },
        errorHandler: () => undefined,
      })
    : undefined;
  const totals = new Map<string, number>();
  const add = (label: string, by: number): void => {
    totals.set(label, (totals.get(label) ?? 0) + by);
  };
  return {
    count(name, tags = {}, by = 1) {
      const label = formatLabel(name, tags);
      add(label, by);
      client?.increment(name, by, { ...tags });
    },
    observe(name, ms) {
      getHistogramLabels(name).forEach(([bound, label]) => {
        if (ms <= bound) add(label, 1);
      });
      add(`${name}.sum`, ms);
      client?.timing(name, ms);
    },
    totals: () => Object.fromEntries(totals),
    close: () => client?.close(() => undefined),
  };
};
