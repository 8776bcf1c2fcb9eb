/**
 * Estimates the number of events of a response. Answers requests that look alike but differ in cost, with hints that are
 * right in the median and often far off.
 */
import type { RequestSize } from './RequestSize.js';

/** Number of events expected of a service without completed requests. */
const INITIAL_EVENTS = 25;

/** Weight of a new observation, so that about the latest forty requests of a service count. */
const LEARNING_RATE = 0.05;

/** Initial variance of the logarithm of the number of events, and that around the hint. */
const INITIAL_VARIANCE = 0.3;

/** Bounds the cost of a wrong hint: the estimate is within this factor of the service's mean. */
const MAX_DEVIATION_FACTOR = 2;

interface ServiceStatistics {
  /** Mean and variance of the logarithm of the number of events. */
  mean: number;
  variance: number;
  /** Mean and variance of the logarithm of the events per hinted token; undefined before the first hint. */
  hintMean: number | undefined;
  hintVariance: number;
}

const createStatistics = (): ServiceStatistics => ({
  mean: Math.log(INITIAL_EVENTS),
  variance: INITIAL_VARIANCE,
  hintMean: undefined,
  hintVariance: INITIAL_VARIANCE,
});

const move = (from: number, to: number): number => from + (to - from) * LEARNING_RATE;

/** Learns from completed requests how many events a request of a service has. */
export class OutputEstimator {
  private readonly statisticsByService = new Map<string, ServiceStatistics>();

  /**
   * Records a completed response.
   *
   * @param service - name of the service
   * @param size - size of the request; undefined if its caller states none
   * @param events - number of events
   */
  record(service: string, size: RequestSize | undefined, events: number): void {
    if (events <= 0) return;
    const statistics = this.statisticsByService.get(service) ?? createStatistics();
    this.statisticsByService.set(service, statistics);
    const actual = Math.log(events);
    statistics.variance = move(statistics.variance, (actual - statistics.mean) ** 2);
    statistics.mean = move(statistics.mean, actual);
    if (!size?.hintedOutputTokens) return;
    const ratio = actual - Math.log(size.hintedOutputTokens);
    const hintMean = statistics.hintMean ?? ratio;
    statistics.hintVariance = move(statistics.hintVariance, (ratio - hintMean) ** 2);
    statistics.hintMean = move(hintMean, ratio);
  }

  /**
   * Estimates the number of events of a response: the mean of its service and the hint, each weighted by how often it was
   * right.
   *
   * @param service - name of the service
   * @param size - size of the request; undefined if its caller states none
   * @returns number of events
   */
  estimateEvents(service: string, size: RequestSize | undefined): number {
    const { mean, variance, hintMean, hintVariance } =
      this.statisticsByService.get(service) ?? createStatistics();
    if (!size?.hintedOutputTokens || hintMean === undefined) return Math.exp(mean);
    const hinted = hintMean + Math.log(size.hintedOutputTokens);
    const hintWeight = variance / (variance + hintVariance);
    const deviation = (hinted - mean) * hintWeight;
    const maxDeviation = Math.log(MAX_DEVIATION_FACTOR);
    return Math.exp(mean + Math.min(maxDeviation, Math.max(-maxDeviation, deviation)));
  }
}
