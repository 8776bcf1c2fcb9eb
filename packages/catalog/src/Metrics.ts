/** Metrics by StatsD, through hot-shots. */
import { StatsD } from 'hot-shots';
import type { CounterName, TimingName } from './counterNames.js';

/** Counts catalogued occurrences. */
export interface Metrics {
  /**
   * Adds to a counter.
   *
   * @param name - name in the catalogue
   * @param tags - values of the tags that the catalogue lists for the counter
   * @param by - how much to add
   */
  count(name: CounterName, tags?: Readonly<Record<string, string>>, by?: number): void;

  /**
   * Adds to a histogram.
   *
   * @param name - name in the catalogue
   * @param ms - what was measured. Unit: ms
   */
  observe(name: TimingName, ms: number): void;

  /**
   * Reads the totals since the start of the process.
   *
   * @returns totals by counter name and tags, such as `requests.refused{code=overloaded}`, and for each
   *   histogram the observations up to each bound, such as `requests.first{le=100}`
   */
  totals(): Readonly<Record<string, number>>;

  /** Sends what is buffered and closes the socket. */
  close(): void;
}

/** Upper bounds of the histograms: around the usual objectives and time-outs of chats. Unit: ms. */
const HISTOGRAM_BOUNDS_MS = [10, 25, 50, 100, 200, 300, 500, 1000, 2000, 5000, 15_000];

/** Address of a StatsD server. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

/** Labels of a histogram's counts, by its name: built once, as there is one for each bound. */
const labelsByHistogram = new Map<string, readonly (readonly [number, string])[]>();

const formatLabel = (name: string, tags: Readonly<Record<string, string>>): string => {
  const pairs = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
};

const getHistogramLabels = (name: string): readonly (readonly [number, string])[] => {
  const known = labelsByHistogram.get(name);
  if (known) return known;
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
 * @param statsd - where to send; without it only the totals are kept
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
