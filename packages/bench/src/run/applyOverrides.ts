/** The load of one variant. */
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
 * Applies what a variant changes in the load, the faults and the declarations.
 *
 * @param experiment - as in its file
 * @param overrides - of the variant
 * @returns the experiment as this variant runs it
 */
export const applyOverrides = (experiment: Experiment, overrides: Overrides): Experiment => ({
  ...experiment,
  engine: { ...experiment.engine, ...overrides.engine },
  nodeSettings: mergeNodes(experiment.nodeSettings, overrides.nodeSettings),
  accounts: overrides.omitOnline ? {} : mergeTraffic(experiment.accounts, overrides.accounts),
  batch: overrides.omitBatch ? [] : experiment.batch,
  faults: overrides.omitFaults ? [] : experiment.faults,
});
