/** Computes the figures of a run from its recorded outcomes. */
import { build } from 'hdr-histogram-js';
import type { BatchItemCounts } from '../load/countBatchItems.js';
import type { JobOutcome } from '../load/runBatchJob.js';
import type { ChatOutcome, Ending } from '../load/sendChat.js';
import type { ScheduledRequest } from '../schedule/planRequests.js';
import { computeDueShares } from './computeDueShares.js';
import type { AccountFigures, RunFigures } from './RunFigures.js';

/** A request and its outcome. */
export interface ChatRecord {
  readonly request: ScheduledRequest;
  readonly isWithinRate: boolean;
  readonly outcome: ChatOutcome;
}

/** Recorded outcomes of a run. */
export interface RunObservation {
  /** Requests scheduled after the warm-up. */
  readonly chats: readonly ChatRecord[];
  /** Delay between the scheduled time of each request and its actual sending. Unit: ms. */
  readonly sendLagsMs: readonly number[];
  readonly jobs: readonly JobOutcome[];
  /** Batch items that the engines ran between the end of the warm-up and the end of the load. */
  readonly items: BatchItemCounts;
  /** Time from the end of the warm-up to the end of the load. Unit: ms. */
  readonly windowMs: number;
  readonly getWeight: (account: string) => number;
}

const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;
/** Maximum time that the histograms record; longer times are clamped. Unit: ms. */
const MAX_RECORDED_MS = 120_000;
const SIGNIFICANT_DIGITS = 3;

type PercentileLookup = (percentile: number) => number | undefined;

const createPercentileLookup = (valuesMs: readonly number[]): PercentileLookup => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MS * US_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  valuesMs.forEach((value) => {
    const bounded = Math.min(MAX_RECORDED_MS, Math.max(0, value));
    histogram.recordValue(Math.round(bounded * US_PER_MS));
  });
  return (percentile) =>
    valuesMs.length === 0 ? undefined : histogram.getValueAtPercentile(percentile) / US_PER_MS;
};

const sumBy = <Item>(items: readonly Item[], valueOf: (item: Item) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0);

const countEndings = (chats: readonly ChatRecord[]): Record<Ending, number> => {
  const endings: Record<Ending, number> = { completed: 0, refused: 0, cut: 0, unanswered: 0 };
  chats.forEach(({ outcome }) => {
    endings[outcome.ending] += 1;
  });
  return endings;
};

const countCodes = (chats: readonly ChatRecord[]): Record<string, number> => {
  const codes: Record<string, number> = {};
  chats.forEach(({ outcome: { ending, code } }) => {
    if (code === undefined) return;
    const name = `${ending}: ${code}`;
    codes[name] = (codes[name] ?? 0) + 1;
  });
  return codes;
};

const getFirstTokenTimes = (chats: readonly ChatRecord[]): number[] =>
  chats.flatMap(({ outcome }) => outcome.firstTokenMs ?? []);

const summarizeAccounts = ({ chats, getWeight }: RunObservation): AccountFigures[] => {
  const names = [...new Set(chats.map(({ request }) => request.account))].sort();
  const demands = names.map((account) => {
    const own = chats.filter(({ request }) => request.account === account);
    const within = own.filter(({ isWithinRate }) => isWithinRate);
    const demand = sumBy(within, ({ request }) => request.outputTokens);
    return { account, weight: getWeight(account), demand, own, withinRate: within.length };
  });
  const due = computeDueShares(
    demands,
    sumBy(chats, ({ outcome }) => outcome.tokens),
  );
  return demands.map(({ account, weight, demand, own, withinRate }) => {
    const firstTokenP99 = createPercentileLookup(getFirstTokenTimes(own))(99);
    return {
      account,
      weight,
      sent: own.length,
      withinRate,
      endings: countEndings(own),
      demand,
      due: due.get(account) ?? 0,
      served: sumBy(own, ({ outcome }) => outcome.tokens),
      ...(firstTokenP99 === undefined ? {} : { firstTokenP99 }),
    };
  });
};

const findLowestServedRatio = (accounts: readonly AccountFigures[]): number | undefined => {
  const ratios = accounts.filter(({ due }) => due > 0).map(({ due, served }) => served / due);
  return ratios.length > 0 ? Math.min(...ratios) : undefined;
};

/**
 * Counts how many fewer requests of an account were accepted than an ideal token bucket admits.
 * Which requests of an account over its rate are refused is random, so only totals are compared.
 */
const countRefusedWithinRate = ({ sent, withinRate, endings }: AccountFigures): number =>
  Math.max(0, withinRate - (sent - endings.refused));

const computeCachedShare = (chats: readonly ChatRecord[]): number | undefined => {
  const prompts = sumBy(chats, ({ outcome }) => outcome.promptTokens);
  if (prompts === 0) return undefined;
  return (100 * sumBy(chats, ({ outcome }) => outcome.cachedTokens)) / prompts;
};

const omitUndefined = (values: Record<string, number | undefined>): RunFigures['metrics'] =>
  Object.fromEntries(Object.entries(values).filter(([, value]) => value !== undefined));

/**
 * Computes the figures of one run.
 *
 * @param observation - recorded outcomes
 * @returns the figures
 */
export const summarizeRun = (observation: RunObservation): RunFigures => {
  const { chats, jobs, items, windowMs, sendLagsMs } = observation;
  const seconds = windowMs / MS_PER_SECOND;
  const firstToken = createPercentileLookup(getFirstTokenTimes(chats));
  const betweenTokens = createPercentileLookup(chats.flatMap(({ outcome }) => outcome.gapsMs));
  const completed = chats.filter(({ outcome }) => outcome.ending === 'completed');
  const total = createPercentileLookup(completed.map(({ outcome }) => outcome.totalMs));
  const accounts = summarizeAccounts(observation);
  const hasChats = chats.length > 0;
  const hasJobs = jobs.length > 0;
  return {
    metrics: omitUndefined({
      firstTokenP50: firstToken(50),
      firstTokenP95: firstToken(95),
      firstTokenP99: firstToken(99),
      betweenTokensP50: betweenTokens(50),
      betweenTokensP95: betweenTokens(95),
      betweenTokensP99: betweenTokens(99),
      wholeP50: total(50),
      wholeP99: total(99),
      ...(hasChats && {
        sent: chats.length,
        ...countEndings(chats),
        refusedWithinRate: sumBy(accounts, countRefusedWithinRate),
        tokensPerSecond: sumBy(chats, ({ outcome }) => outcome.tokens) / seconds,
      }),
      worstServed: findLowestServedRatio(accounts),
      cachedShare: computeCachedShare(chats),
      batchItemsPerSecond: hasJobs ? items.completed / seconds : undefined,
      batchItemsCancelled: hasJobs ? items.cancelled : undefined,
      jobsCompleted: hasJobs
        ? jobs.filter((job) => job.completedMs !== undefined).length
        : undefined,
      jobsLate: hasJobs ? jobs.filter(({ isLate }) => isLate).length : undefined,
      sendLagP99: createPercentileLookup(sendLagsMs)(99),
    }),
    codes: countCodes(chats),
    accounts,
  };
};
