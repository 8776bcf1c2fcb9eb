/** Which hosts of an uneven fleet carry batch work. */
import { ranksFirst } from './rendezvousHash.js';

/**
 * Part of the strongest host's processors below which a host runs no batch items: a job of ten items puts out some
 * 400 events a second, which take a fifth of a core, and a host with a quarter of one needs that for its callers.
 */
const MIN_CORES_RATIO = 0.5;

/** A host that could run items. */
export interface WorkerCandidate {
  readonly name: string;
  readonly incarnation: number;
  /** Processors that its process may use; parts of one count. */
  readonly cores: number;
}

/**
 * Selects the hosts that are strong enough for batch items.
 *
 * @param hosts - hosts that are at work
 * @returns those with at least half of the processors of the strongest one
 */
export const selectCapableHosts = <Candidate extends WorkerCandidate>(
  hosts: readonly Candidate[],
): Candidate[] => {
  const most = Math.max(...hosts.map(({ cores }) => cores));
  return hosts.filter(({ cores }) => cores >= most * MIN_CORES_RATIO);
};

/**
 * Chooses the host that runs a job.
 *
 * @param job - id of the job
 * @param own - the host that accepts it
 * @param candidates - hosts of its failure domain that can take jobs, with or without itself
 * @returns the accepting host when it is among the strong ones, else one of these; nothing without candidates
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
