/** Selects the hosts that run batch work in a fleet of unequal hosts. */
import { ranksFirst } from './rendezvousHash.js';

/**
 * Minimum number of cores for running batch items, relative to the host with the most cores. A job of ten items
 * outputs some 400 events a second, which takes a fifth of a core; a host with a quarter of a core needs that for its
 * callers.
 */
const MIN_CORES_RATIO = 0.5;

/** A host that can run batch items. */
export interface WorkerCandidate {
  readonly name: string;
  readonly incarnation: number;
  /** Number of CPU cores available to its process; may be fractional. */
  readonly cores: number;
}

/**
 * Selects the hosts with enough cores for batch items.
 *
 * @param hosts - available hosts
 * @returns hosts with at least half as many cores as the host with the most
 */
export const selectCapableHosts = <Candidate extends WorkerCandidate>(
  hosts: readonly Candidate[],
): Candidate[] => {
  const maxCores = Math.max(...hosts.map(({ cores }) => cores));
  return hosts.filter(({ cores }) => cores >= maxCores * MIN_CORES_RATIO);
};

/**
 * Chooses the host that runs a job.
 *
 * @param job - id of the job
 * @param own - the host that accepts it
 * @param candidates - hosts of its failure domain that can take jobs, with or without itself
 * @returns the accepting host if it has enough cores, else another host that has; undefined without candidates
 */
export const chooseHolder = (
  job: string,
  own: WorkerCandidate,
  candidates: readonly WorkerCandidate[],
): WorkerCandidate | undefined => {
  const capable = selectCapableHosts(candidates);
  if (capable.includes(own)) return own;
  const names = capable.map(({ name }) => name);
  return capable.find(({ name }) => ranksFirst(job, name, names));
};
