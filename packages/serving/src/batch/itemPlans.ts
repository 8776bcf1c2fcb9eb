/**
 * Decides which waiting items leave the free slots to a pulse of online requests. The load: online requests arrive in pulses of a few
 * seconds, and the load of each target fluctuates within them. An item that starts on a slot which is free for the moment is cut
 * after some tenths of a second, and its next target reads its prompt and output again.
 */
import { estimateRemainingMs, type Pace, type SchedulableItem } from './orderItems.js';
import type { Pulses } from './findPulses.js';

/**
 * Urgency of a waiting item: patient ones use only slots that pulses leave free, urgent ones also slots that are reserved for
 * online requests.
 */
export type Urgency = 'patient' | 'relaxed' | 'urgent';

/** Slack below which an item is urgent: about the length of one traffic peak. Unit: ms. */
const URGENT_SLACK_MS = 4000;

/** Minimum run before the next pulse that is worth reading the prompt and the output again afterwards. Unit: ms. */
const MIN_RUN_MS = 500;

/** What decides the urgency of an item. */
export interface ItemOutlook {
  readonly item: Pick<SchedulableItem, 'dueAt' | 'tokens' | 'events'>;
  readonly pace: Pace;
  /** Pulses of the service of the item's route; undefined if none were observed, or items aren't planned. */
  readonly pulses: Pulses | undefined;
  /** Time until all unfinished items of all hosts could have run. Unit: ms. */
  readonly backlogMs: number;
}

/**
 * Returns the number of slots of a target that online requests leave free throughout a pulse. The number of requests that arrive
 * independently of each other fluctuates by about the square root of its mean.
 *
 * @param slots - slots of the target
 * @param pulses - pulses of its service
 * @returns number of slots
 */
export const countLastingSlots = (slots: number, { level }: Pick<Pulses, 'level'>): number => {
  const online = slots * level;
  return Math.max(0, Math.floor(slots - online - Math.sqrt(online)));
};

/** Unfinished items of all hosts and slots of one service. */
export interface Backlog {
  readonly waiting: number;
  /** Running items, which have on average half of their run before them. */
  readonly running: number;
  /** Mean run time of an item. Unit: ms. */
  readonly runMs: number;
  /** Slots of each target. */
  readonly slots: readonly number[];
}

/**
 * Estimates the time until all unfinished items could have run: between pulses on the slots that online requests leave free on
 * average, in pulses on those that stay free.
 *
 * @param backlog - items and slots
 * @param pulses - pulses of the service
 * @returns the time; infinite without slots. Unit: ms
 */
export const estimateBacklogMs = (
  { waiting, running, runMs, slots }: Backlog,
  pulses: Pulses,
): number => {
  const { pulseMs, valleyMs, valleyLevel } = pulses;
  const valleySlots = slots.reduce((sum, each) => sum + each, 0) * (1 - valleyLevel);
  const lastingSlots = slots.reduce((sum, each) => sum + countLastingSlots(each, pulses), 0);
  const meanSlots = (valleySlots * valleyMs + lastingSlots * pulseMs) / (valleyMs + pulseMs);
  return meanSlots > 0 ? ((waiting + running / 2) * runMs) / meanSlots : Number.POSITIVE_INFINITY;
};

/** Estimates how long pulses interrupt an item that gets slots only between them, including the pulse in progress. */
const estimateInterruptionMs = (
  remainingMs: number,
  { pulseMs, valleyMs, endsAt }: Pulses,
  now: number,
): number => {
  const firstMs = endsAt === undefined ? pulseMs : endsAt - now;
  const laterPulses = Math.max(0, Math.ceil(remainingMs / valleyMs) - 1);
  return firstMs + laterPulses * pulseMs;
};

/**
 * Decides how urgent a waiting item is. In a pulse, or just before one, an item is patient if it would still be in time after
 * waiting for all others and getting slots only between the pulses.
 *
 * @param outlook - the item, and what is known of pulses and backlog
 * @param now - monotonic time. Unit: ms
 * @returns the urgency
 */
export const judgeUrgency = (
  { item, pace, pulses, backlogMs }: ItemOutlook,
  now: number,
): Urgency => {
  const remainingMs = estimateRemainingMs(item, pace);
  const slackMs = item.dueAt - now - remainingMs;
  if (slackMs < URGENT_SLACK_MS) return 'urgent';
  if (!pulses) return 'relaxed';
  const { endsAt, nextRiseAt } = pulses;
  const isNearPulse = endsAt !== undefined || now + Math.min(remainingMs, MIN_RUN_MS) > nextRiseAt;
  const requiredSlackMs =
    backlogMs + estimateInterruptionMs(remainingMs, pulses, now) + URGENT_SLACK_MS;
  return isNearPulse && slackMs >= requiredSlackMs ? 'patient' : 'relaxed';
};

/**
 * Orders running items for preemption by a pulse: first those that will be late anyway, then those that stay in time although the
 * pulse interrupts them, the ones with the longest remaining run first. The others free their slots sooner by themselves, and
 * their next targets would have more to read again.
 *
 * @param items - running items
 * @param pace - estimated pace of items
 * @param pulses - pulses of the service that runs them
 * @param now - monotonic time. Unit: ms
 * @returns the items, the first to preempt first
 */
export const orderForPulse = <Item extends SchedulableItem>(
  items: readonly Item[],
  pace: Pace,
  pulses: Pulses,
  now: number,
): Item[] =>
  items
    .map((item) => {
      const remainingMs = estimateRemainingMs(item, pace);
      const slackMs = item.dueAt - now - remainingMs;
      const mayWait = slackMs >= estimateInterruptionMs(remainingMs, pulses, now) + URGENT_SLACK_MS;
      return { item, isLate: slackMs < 0, mayWait, order: mayWait ? remainingMs : slackMs };
    })
    .sort(
      (a, b) =>
        Number(b.isLate) - Number(a.isLate) ||
        Number(b.mayWait) - Number(a.mayWait) ||
        b.order - a.order,
    )
    .map(({ item }) => item);
