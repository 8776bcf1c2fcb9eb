/** Runs the variants of an experiment alternating, round by round. */
import type { Experiment, Overrides } from '../experiment/experiment.js';
import type { Report } from '../report/renderReport.js';
import type { RunFigures } from '../report/RunFigures.js';
import { runVariant } from './runVariant.js';

/** How to run. */
export interface RunOptions {
  readonly verbose: boolean;
  /** Ends the current run and its processes. */
  readonly signal: AbortSignal;
  /** Told at the start of each run. */
  readonly onRunStart: (line: string) => void;
}

/** Every second round runs the variants in reverse, so that a drift of the machine evens out. */
const orderVariants = (experiment: Experiment, round: number): [string, Overrides][] => {
  const variants = Object.entries(experiment.variants);
  return round % 2 === 0 ? variants : variants.reverse();
};

/**
 * Runs an experiment.
 *
 * @param experiment - what to run
 * @param options - how to run
 * @returns figures of all runs
 */
export const runExperiment = async (
  experiment: Experiment,
  { verbose, signal, onRunStart: announce }: RunOptions,
): Promise<Report> => {
  const runs: Record<string, RunFigures[]> = {};
  Object.keys(experiment.variants).forEach((variant) => {
    runs[variant] = [];
  });
  for (let round = 0; round < experiment.rounds; round += 1) {
    for (const [variant, overrides] of orderVariants(experiment, round)) {
      announce(`round ${round + 1} of ${experiment.rounds}: ${variant}`);
      runs[variant]?.push(await runVariant(experiment, overrides, { verbose, signal }));
    }
  }
  return { experiment, runs };
};
