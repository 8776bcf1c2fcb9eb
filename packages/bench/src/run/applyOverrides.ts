/** Applies the overrides of a variant to an experiment. */
import type { AccountTraffic, Experiment, Overrides } from '../experiment/experiment.js';

const mergeTraffic = (
  accounts: Experiment['accounts'],
  changes: Overrides['accounts'],
): Experiment['accounts'] =>
  Object.fromEntries(
    Object.entries(accounts).map(([account, traffic]) => {
      const merged = { ...traffic, ...changes[account] } as AccountTraffic;
      return [account, merged];
    }),
  );

const mergeNodes = (
  nodes: Experiment['nodeSettings'],
  changes: Overrides['nodeSettings'],
): Experiment['nodeSettings'] => {
  const paths = [...new Set([...Object.keys(nodes), ...Object.keys(changes)])];
  return Object.fromEntries(paths.map((path) => [path, { ...nodes[path], ...changes[path] }]));
};

/**
 * Applies the overrides of a variant to the load, the faults and the declarations.
 *
 * @param experiment - experiment as in its file
 * @param overrides - overrides of the variant
 * @returns the experiment that the variant runs
 */
export const applyOverrides = (experiment: Experiment, overrides: Overrides): Experiment => ({
  ...experiment,
  engine: { ...experiment.engine, ...overrides.engine },
  nodeSettings: mergeNodes(experiment.nodeSettings, overrides.nodeSettings),
  accounts: overrides.omitOnline ? {} : mergeTraffic(experiment.accounts, overrides.accounts),
  batch: overrides.omitBatch ? [] : experiment.batch,
  faults: overrides.omitFaults ? [] : experiment.faults,
});
