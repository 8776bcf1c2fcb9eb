/** Plans an open-loop schedule of online requests with exponential inter-arrival times. */
import type { AccountTraffic, Experiment } from '../experiment/experiment.js';
import { createRandom } from './createRandom.js';

/** A request with its scheduled time. */
export interface ScheduledRequest {
  /** Scheduled time after the start of the load. Unit: ms. */
  readonly atMs: number;
  readonly account: string;
  /** Name of the entry host. */
  readonly entry: string;
  readonly prompt: string;
  readonly outputTokens: number;
}

/** Parameters of a schedule. */
export type ScheduleOptions = Pick<Experiment, 'seed' | 'durationMs' | 'accounts'>;

/**
 * Creates the words of a prompt. The engine stand-in counts each word as one token.
 *
 * @param label - prefix of the words; distinguishes them from the words of other prompts
 * @param tokens - number of words
 * @returns the words
 */
export const makeWords = (label: string, tokens: number): string[] =>
  Array.from({ length: tokens }, (_, index) => `${label}-${index}`);

const isInBurst = (bursts: AccountTraffic['bursts'], atMs: number): boolean =>
  bursts !== undefined && atMs >= bursts.everyMs && atMs % bursts.everyMs < bursts.lengthMs;

/** Draws arrivals at the maximum rate and thins them out, which is exact for a varying rate. */
const drawArrivals = (
  account: string,
  { rate, bursts }: AccountTraffic,
  { seed, durationMs }: ScheduleOptions,
): number[] => {
  const random = createRandom(seed, `arrivals ${account}`);
  const maxRate = Math.max(rate, bursts?.rate ?? 0);
  const arrivals: number[] = [];
  for (let atMs = random.gapMs(maxRate); atMs < durationMs; atMs += random.gapMs(maxRate)) {
    const currentRate = isInBurst(bursts, atMs) && bursts ? bursts.rate : rate;
    if (random.next() * maxRate < currentRate) arrivals.push(atMs);
  }
  return arrivals;
};

const planAccountRequests = (
  account: string,
  traffic: AccountTraffic,
  plan: ScheduleOptions,
): ScheduledRequest[] => {
  const random = createRandom(plan.seed, `requests ${account}`);
  const { promptTokens, outputTokens, sharedPrefix, entries } = traffic;
  return drawArrivals(account, traffic, plan).map((atMs, index) => {
    const length = random.integerWithin(promptTokens);
    const sharedLength = Math.round(length * sharedPrefix);
    const words = [
      ...makeWords(account, sharedLength),
      ...makeWords(`${account}-${index}`, length - sharedLength),
    ];
    return {
      atMs,
      account,
      entry: entries[Math.floor(random.next() * entries.length)] ?? '',
      prompt: words.join(' '),
      outputTokens: random.integerWithin(outputTokens),
    };
  });
};

/**
 * Plans the online requests of a run.
 *
 * @param plan - seed, duration and traffic
 * @returns the requests, ordered by scheduled time
 */
export const planRequests = (plan: ScheduleOptions): ScheduledRequest[] =>
  Object.entries(plan.accounts)
    .flatMap(([account, traffic]) => planAccountRequests(account, traffic, plan))
    .sort((left, right) => left.atMs - right.atMs);
