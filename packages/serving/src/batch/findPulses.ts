/**
 * Finds pulses in the recent online load of a service. The load: online requests arrive in pulses of a few seconds at regular
 * intervals, with valleys of little load between them.
 */

/** Online load of a service at one moment. */
export interface LoadSample {
  /** Monotonic time. Unit: ms. */
  readonly at: number;
  /** Running online requests as a share of the slots of all targets. */
  readonly level: number;
}

/** Pulses of the online load, and when the next one is expected. */
export interface Pulses {
  /** Mean level in a pulse. */
  readonly level: number;
  /** Mean level between pulses. */
  readonly valleyLevel: number;
  /** Median length of a pulse. Unit: ms. */
  readonly pulseMs: number;
  /** Median time between the end of a pulse and the next one. Unit: ms. */
  readonly valleyMs: number;
  /** Monotonic time at which the pulse in progress is expected to end; undefined between pulses. Unit: ms. */
  readonly endsAt: number | undefined;
  /** Monotonic time at which the next pulse is expected; infinite unless pulses come at regular intervals. Unit: ms. */
  readonly nextRiseAt: number;
}

/** Minimum difference between the levels of pulses and valleys. */
const MIN_LEVEL_DIFFERENCE = 0.15;

/** Shares of the samples below the level of valleys, and below that of pulses. */
const LEVEL_QUANTILES = { valley: 0.1, pulse: 0.95 } as const;

/** Minimum length of a pulse or valley; shorter changes are fluctuations. Unit: ms. */
const MIN_PHASE_MS = 500;

/** Length that is assumed for pulses while none has ended. Unit: ms. */
const UNKNOWN_PULSE_MS = 4000;

/** Time after which a pulse that was expected doesn't come any more. Unit: ms. */
const MAX_OVERDUE_MS = 500;

/** Maximum ratio of the longest to the shortest interval of regular pulses, and of a pulse to the median one. */
const MAX_LENGTH_RATIO = 1.5;

/** A time span in which the level stays on one side of the threshold. */
interface Phase {
  readonly isHigh: boolean;
  /** Monotonic time. Unit: ms. */
  readonly startedAt: number;
}

const findQuantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

const findMedian = (values: readonly number[]): number =>
  findQuantile(
    [...values].sort((a, b) => a - b),
    0.5,
  );

/** Divides the samples into phases of at least the minimum length, except for the last one. */
const findPhases = (samples: readonly LoadSample[], threshold: number): Phase[] => {
  const phases: Phase[] = [];
  samples.forEach(({ at, level }) => {
    const isHigh = level >= threshold;
    const last = phases.at(-1);
    if (last?.isHigh === isHigh) return;
    // A phase that was too short belongs to the one before it. A host that starts hears of the load of others bit by bit.
    const wasShort = last !== undefined && at - last.startedAt < MIN_PHASE_MS;
    if (wasShort) phases.pop();
    if (!wasShort || phases.length === 0) phases.push({ isHigh, startedAt: at });
  });
  return phases;
};

const findMeanLevel = (samples: readonly LoadSample[], isIncluded: (level: number) => boolean) => {
  const levels = samples.map(({ level }) => level).filter(isIncluded);
  return levels.reduce((sum, level) => sum + level, 0) / levels.length;
};

/** Lists the lengths of the phases that were observed from beginning to end. */
const getLengths = (phases: readonly Phase[], isHigh: boolean): number[] =>
  phases
    .slice(1, -1)
    .map((phase, index) => ({ phase, lengthMs: phases[index + 2]!.startedAt - phase.startedAt }))
    .filter(({ phase }) => phase.isHigh === isHigh)
    .map(({ lengthMs }) => lengthMs);

/** Predicts the next rise; infinite unless the rises were regular and the next one isn't overdue. */
const predictRise = (rises: readonly Phase[], now: number): number => {
  const intervals = rises
    .slice(1)
    .map(({ startedAt }, index) => startedAt - rises[index]!.startedAt);
  const isRegular =
    intervals.length > 0 && Math.max(...intervals) <= MAX_LENGTH_RATIO * Math.min(...intervals);
  const expectedAt = rises.at(-1)!.startedAt + findMedian(intervals);
  return isRegular && now <= expectedAt + MAX_OVERDUE_MS
    ? Math.max(now, expectedAt)
    : Number.POSITIVE_INFINITY;
};

/**
 * Finds pulses.
 *
 * @param samples - samples in the order of their times; the last one is the current load
 * @returns the pulses; undefined if no rise was observed, or the load stays high for longer than a pulse does
 */
export const findPulses = (samples: readonly LoadSample[]): Pulses | undefined => {
  const now = samples.at(-1)?.at;
  if (now === undefined) return undefined;
  const levels = samples.map(({ level }) => level).sort((a, b) => a - b);
  const low = findQuantile(levels, LEVEL_QUANTILES.valley);
  const high = findQuantile(levels, LEVEL_QUANTILES.pulse);
  if (high - low < MIN_LEVEL_DIFFERENCE) return undefined;
  const threshold = (low + high) / 2;
  // A single sample begins no phase.
  const phases = findPhases(samples, threshold).filter(({ startedAt }) => startedAt < now);
  // The first phase began before the first sample.
  const rises = phases.slice(1).filter(({ isHigh }) => isHigh);
  const lastRise = rises.at(-1);
  if (!lastRise) return undefined;
  const lengths = { pulse: getLengths(phases, true), valley: getLengths(phases, false) };
  const pulseMs = lengths.pulse.length > 0 ? findMedian(lengths.pulse) : UNKNOWN_PULSE_MS;
  const isHigh = phases.at(-1) === lastRise;
  if (isHigh && now - lastRise.startedAt > MAX_LENGTH_RATIO * pulseMs) return undefined;
  return {
    level: findMeanLevel(samples, (level) => level >= threshold),
    valleyLevel: findMeanLevel(samples, (level) => level < threshold),
    pulseMs,
    valleyMs: lengths.valley.length > 0 ? findMedian(lengths.valley) : pulseMs,
    endsAt: isHigh ? Math.max(now, lastRise.startedAt + pulseMs) : undefined,
    nextRiseAt: predictRise(rises, now),
  };
};
