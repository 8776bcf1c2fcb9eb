/** Runs the variants of an experiment alternately, round by round. */
import type { Experiment, Overrides } from '../experiment/experiment.js';
import type { Report } from '../report/renderReport.js';
import type { RunFigures } from '../report/RunFigures.js';
import { runVariant } from './runVariant.js';

/** Options of a run of an experiment. */
export interface RunOptions {
  readonly verbose: boolean;
  /** Aborts the current run and stops its processes. */
  readonly signal: AbortSignal;
  /** Called with a progress message at the start of each run. */
  readonly onRunStart: (line: string) => void;
}

/** Reverses the order in every second round, so that a drift in machine speed evens out. */
const orderVariants = (experiment: Experiment, round: number): [string, Overrides][] => {
  const variants = Object.entries(experiment.variants);
  return round % 2 === 0 ? variants : variants.reverse();
};

/**
 * Runs an experiment.
 *
 * @param experiment - the experiment
 * @param options - options of the run
 * @returns figures of all runs
 */
export const runExperiment = async (
  experiment: Experiment,
  { verbose, signal, onRunStart }: RunOptions,
): Promise<Report> => {
  const runs: Record<string, RunFigures[]> = {};
  Object.keys(experiment.variants).forEach((variant) => {
    runs[variant] = [];
  });
  for (let round = 0; round < experiment.rounds; round += 1) {
    for (const [variant, overrides] of orderVariants(experiment, round)) {
      onRunStart(`round ${round + 1} of ${experiment.rounds}: ${variant}`);
      runs[variant]?.push(await runVariant(experiment, overrides, { verbose, signal }));
    }
  }
  return { experiment, runs };
};
