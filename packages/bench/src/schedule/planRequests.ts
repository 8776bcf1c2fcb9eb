/** Schedule of online requests: open loop, with exponential gaps from the seed. */
import type { AccountTraffic, Experiment } from '../experiment/experiment.js';
import { createRandom } from './createRandom.js';

/** One request to be sent. */
export interface ScheduledRequest {
  /** Intended time, from the start of the load. Unit: ms. */
  readonly atMs: number;
  readonly account: string;
  /** Name of the entry host. */
  readonly entry: string;
  readonly prompt: string;
  readonly outputTokens: number;
}

/** What the schedule depends on. */
export type ScheduleOptions = Pick<Experiment, 'seed' | 'durationMs' | 'accounts'>;

/**
 * Makes a prompt of a number of words; the engine stand-in counts a word as a token.
 *
 * @param label - makes the words of the prompt differ from those of others
 * @param tokens - number of words
 * @returns the words
 */
export const makeWords = (label: string, tokens: number): string[] =>
  Array.from({ length: tokens }, (_, index) => `${label}-${index}`);

const isInBurst = (bursts: AccountTraffic['bursts'], atMs: number): boolean =>
  bursts !== undefined && atMs >= bursts.everyMs && atMs % bursts.everyMs < bursts.lengthMs;

/** Draws arrivals at the highest rate and drops the surplus, which is exact for a varying rate. */
const drawArrivals = (
  account: string,
  { rate, bursts }: AccountTraffic,
  { seed, durationMs }: ScheduleOptions,
): number[] => {
  const random = createRandom(seed, `arrivals ${account}`);
  const highest = Math.max(rate, bursts?.rate ?? 0);
  const arrivals: number[] = [];
  for (let atMs = random.gapMs(highest); atMs < durationMs; atMs += random.gapMs(highest)) {
    const wanted = isInBurst(bursts, atMs) && bursts ? bursts.rate : rate;
    if (random.next() * highest < wanted) arrivals.push(atMs);
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
    const shared = Math.round(length * sharedPrefix);
    const words = [
      ...makeWords(account, shared),
      ...makeWords(`${account}-${index}`, length - shared),
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
 * Plans every online request of a run.
 *
 * @param plan - seed, duration and traffic
 * @returns the requests by intended time
 */
export const planRequests = (plan: ScheduleOptions): ScheduledRequest[] =>
  Object.entries(plan.accounts)
    .flatMap(([account, traffic]) => planAccountRequests(account, traffic, plan))
    .sort((left, right) => left.atMs - right.atMs);
