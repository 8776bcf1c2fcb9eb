/** Metrics by StatsD, through hot-shots. */
import { StatsD } from 'hot-shots';
import type { CounterName } from './counterNames.js';

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
   * Reads the totals since the start of the process.
   *
   * @returns totals by counter name and tags, such as `requests.refused{code=overloaded}`
   */
  totals(): Readonly<Record<string, number>>;

  /** Sends what is buffered and closes the socket. */
  close(): void;
}

/** Address of a StatsD server. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

const labelOf = (name: string, tags: Readonly<Record<string, string>>): string => {
  const pairs = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
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
  return {
    count(name, tags = {}, by = 1) {
      const label = labelOf(name, tags);
      totals.set(label, (totals.get(label) ?? 0) + by);
      client?.increment(name, by, { ...tags });
    },
    totals: () => Object.fromEntries(totals),
    close: () => client?.close(() => undefined),
  };
};
