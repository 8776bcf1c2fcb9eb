/** Turns what was seen in one run into figures. */
import { build } from 'hdr-histogram-js';
import type { BatchItems } from '../load/countBatchItems.js';
import type { JobOutcome } from '../load/runBatchJob.js';
import type { ChatOutcome, Ending } from '../load/sendChat.js';
import type { Send } from '../schedule/planSends.js';
import { dueShares } from './fairShare.js';
import type { AccountFigures, RunFigures } from './RunFigures.js';

/** One request and what became of it. */
export interface ChatRecord {
  readonly send: Send;
  readonly isWithinRate: boolean;
  readonly outcome: ChatOutcome;
}

/** What was seen in one run. */
export interface Observation {
  /** Requests after the warm-up. */
  readonly chats: readonly ChatRecord[];
  readonly sendLagsMs: readonly number[];
  readonly jobs: readonly JobOutcome[];
  /** Batch items that the engines ran after the warm-up and before the end of the load. */
  readonly items: BatchItems;
  /** Time from the end of the warm-up to the end of the load. Unit: ms. */
  readonly windowMs: number;
  readonly weightOf: (account: string) => number;
}

const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const HIGHEST_MS = 120_000;
const SIGNIFICANT_DIGITS = 3;

type PercentileOf = (percentile: number) => number | undefined;

const percentilesOf = (valuesMs: readonly number[]): PercentileOf => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * US_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  valuesMs.forEach((value) => {
    const bounded = Math.min(HIGHEST_MS, Math.max(0, value));
    histogram.recordValue(Math.round(bounded * US_PER_MS));
  });
  return (percentile) =>
    valuesMs.length === 0 ? undefined : histogram.getValueAtPercentile(percentile) / US_PER_MS;
};

const sumOf = <Item>(items: readonly Item[], valueOf: (item: Item) => number): number =>
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

const firstTokens = (chats: readonly ChatRecord[]): number[] =>
  chats.flatMap(({ outcome }) => outcome.firstTokenMs ?? []);

const summarizeAccounts = ({ chats, weightOf }: Observation): AccountFigures[] => {
  const names = [...new Set(chats.map(({ send }) => send.account))].sort();
  const claimants = names.map((account) => {
    const own = chats.filter(({ send }) => send.account === account);
    const within = own.filter(({ isWithinRate }) => isWithinRate);
    const demand = sumOf(within, ({ send }) => send.outputTokens);
    return { account, weight: weightOf(account), demand, own, withinRate: within.length };
  });
  const due = dueShares(
    claimants,
    sumOf(chats, ({ outcome }) => outcome.tokens),
  );
  return claimants.map(({ account, weight, demand, own, withinRate }) => {
    const firstTokenP99 = percentilesOf(firstTokens(own))(99);
    return {
      account,
      weight,
      sent: own.length,
      withinRate,
      endings: countEndings(own),
      demand,
      due: due.get(account) ?? 0,
      served: sumOf(own, ({ outcome }) => outcome.tokens),
      ...(firstTokenP99 === undefined ? {} : { firstTokenP99 }),
    };
  });
};

const worstServedOf = (accounts: readonly AccountFigures[]): number | undefined => {
  const ratios = accounts.filter(({ due }) => due > 0).map(({ due, served }) => served / due);
  return ratios.length > 0 ? Math.min(...ratios) : undefined;
};

/**
 * Counts the refusals by which an account got less than an ideal token bucket would have passed.
 * Which ones of an account over its rate pass is left to chance, so they are not compared one by one.
 */
const refusedWithinRateOf = ({ sent, withinRate, endings }: AccountFigures): number =>
  Math.max(0, withinRate - (sent - endings.refused));

const cachedShareOf = (chats: readonly ChatRecord[]): number | undefined => {
  const prompts = sumOf(chats, ({ outcome }) => outcome.promptTokens);
  if (prompts === 0) return undefined;
  return (100 * sumOf(chats, ({ outcome }) => outcome.cachedTokens)) / prompts;
};

const withoutAbsent = (values: Record<string, number | undefined>): RunFigures['metrics'] =>
  Object.fromEntries(Object.entries(values).filter(([, value]) => value !== undefined));

/**
 * Computes the figures of one run.
 *
 * @param observation - what was seen
 * @returns the figures
 */
export const summarizeRun = (observation: Observation): RunFigures => {
  const { chats, jobs, items, windowMs, sendLagsMs } = observation;
  const seconds = windowMs / MS_PER_SECOND;
  const firstToken = percentilesOf(firstTokens(chats));
  const between = percentilesOf(chats.flatMap(({ outcome }) => outcome.gapsMs));
  const completed = chats.filter(({ outcome }) => outcome.ending === 'completed');
  const whole = percentilesOf(completed.map(({ outcome }) => outcome.wholeMs));
  const accounts = summarizeAccounts(observation);
  const hasOnline = chats.length > 0;
  const hasJobs = jobs.length > 0;
  return {
    metrics: withoutAbsent({
      firstTokenP50: firstToken(50),
      firstTokenP95: firstToken(95),
      firstTokenP99: firstToken(99),
      betweenTokensP50: between(50),
      betweenTokensP95: between(95),
      betweenTokensP99: between(99),
      wholeP50: whole(50),
      wholeP99: whole(99),
      ...(hasOnline && {
        sent: chats.length,
        ...countEndings(chats),
        refusedWithinRate: sumOf(accounts, refusedWithinRateOf),
        tokensPerSecond: sumOf(chats, ({ outcome }) => outcome.tokens) / seconds,
      }),
      worstServed: worstServedOf(accounts),
      cachedShare: cachedShareOf(chats),
      batchItemsPerSecond: hasJobs ? items.completed / seconds : undefined,
      batchItemsCancelled: hasJobs ? items.cancelled : undefined,
      jobsCompleted: hasJobs
        ? jobs.filter((job) => job.completedMs !== undefined).length
        : undefined,
      jobsLate: hasJobs ? jobs.filter(({ isLate }) => isLate).length : undefined,
      sendLagP99: percentilesOf(sendLagsMs)(99),
    }),
    codes: countCodes(chats),
    accounts,
  };
};
