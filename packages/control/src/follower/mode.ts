/** The mode of a process, from its proof and the answers of its peers (design 5.1). */
import type { ConfigurationMode } from '@jacinthlug/protocol/messages';
import { isFresh, MAX_PROOF_AGE_MS } from './proof.js';

/**
 * Age of a proof from which a process says that it does not reach the table. Half of
 * {@link MAX_PROOF_AGE_MS}: when the table goes down, peers say so before the proofs lapse, and no
 * process refuses between `confirmed` and `outage`.
 */
export const TABLE_REACHED_MAX_AGE_MS = MAX_PROOF_AGE_MS / 2;

/** The latest answer of a peer. */
export interface PeerEvidence {
  readonly peer: string;
  /** Monotonic time at which the peer was called. Unit: ms. */
  readonly calledAt: number;
  readonly mode: ConfigurationMode;
  readonly version: number;
  readonly reachesTable: boolean;
  /** Whether the peer had a proof younger than {@link MAX_PROOF_AGE_MS} when it answered. */
  readonly proven: boolean;
}

/** What the mode follows from. */
export interface Evidence {
  readonly now: number;
  /** Name of the deciding process. */
  readonly self: string;
  /** Version held; nothing before the first one. */
  readonly version: number | undefined;
  /** Highest version that any peer named. */
  readonly highestSeen: number;
  readonly provenAt: number | undefined;
  /** Whether the process was `confirmed` or in `outage` before. */
  readonly servedBefore: boolean;
  /** Failure domain of each live member by name; empty before a list was read. */
  readonly domains: ReadonlyMap<string, string>;
  readonly responses: readonly PeerEvidence[];
}

/** Where each member counts when a majority is sought. */
const getVoters = (domains: ReadonlyMap<string, string>): ReadonlyMap<string, string> => {
  const severalDomains = new Set(domains.values()).size > 1;
  // In a fleet of one failure domain a lone process would be a majority, so each process counts.
  return severalDomains ? domains : new Map([...domains.keys()].map((name) => [name, name]));
};

/**
 * Tells whether the named processes stand for more than half of the failure domains.
 *
 * @param domains - failure domain of each live member by name
 * @param names - processes that answered
 * @returns whether they are a majority; never before a list of members was read
 */
export const isMajority = (
  domains: ReadonlyMap<string, string>,
  names: readonly string[],
): boolean => {
  const voters = getVoters(domains);
  const all = new Set(voters.values());
  const heard = new Set(names.flatMap((name) => voters.get(name) ?? []));
  return all.size > 0 && heard.size * 2 > all.size;
};

const recentResponses = (evidence: Evidence): PeerEvidence[] =>
  evidence.responses.filter(({ calledAt }) => evidence.now - calledAt <= MAX_PROOF_AGE_MS);

/** Whether a proof that was young when a peer answered may still be at most the limit old. */
const stillReachesTable = (evidence: Evidence, answer: PeerEvidence): boolean =>
  answer.reachesTable &&
  evidence.now - answer.calledAt <= MAX_PROOF_AGE_MS - TABLE_REACHED_MAX_AGE_MS;

/**
 * Tells whether a process stands for its own failure domain. With others listed there, one of them
 * must answer: two processes of different domains that were both cut off would otherwise make a
 * majority of three domains when they reach each other first.
 */
const countsForOwnDomain = ({ servedBefore, self, domains }: Evidence): boolean => {
  const voters = getVoters(domains);
  const own = voters.get(self);
  const hasOthers = [...voters].some(([name, voter]) => name !== self && voter === own);
  return servedBefore && !hasOthers;
};

const isOutage = (evidence: Evidence): boolean => {
  const version = evidence.version ?? 0;
  // A process that has not served yet knows nothing of its own, so it is no evidence for others.
  const answers = recentResponses(evidence).filter(({ mode }) => mode !== 'starting');
  if (evidence.highestSeen > version) return false;
  if (answers.some((answer) => stillReachesTable(evidence, answer))) return false;
  const names = answers.map(({ peer }) => peer);
  return isMajority(
    evidence.domains,
    countsForOwnDomain(evidence) ? [...names, evidence.self] : names,
  );
};

/**
 * Decides the mode.
 *
 * @param evidence - proof and answers
 * @returns the mode
 */
export const determineMode = (evidence: Evidence): ConfigurationMode => {
  if (evidence.version === undefined) return 'starting';
  if (isFresh(evidence.provenAt, evidence.now)) return 'confirmed';
  if (isOutage(evidence)) return 'outage';
  return evidence.servedBefore ? 'isolated' : 'starting';
};

/**
 * Tells whether an edit may be accepted. Only proven answers count, so that the version spreads on
 * the side that accepted it even when the table fails right afterwards.
 *
 * @param evidence - proof and answers
 * @returns whether this process and a majority of failure domains hold fresh proofs
 */
export const allowsEdits = (evidence: Evidence): boolean => {
  const proven = recentResponses(evidence).filter((answer) => answer.proven);
  const names = [...proven.map(({ peer }) => peer), evidence.self];
  return isFresh(evidence.provenAt, evidence.now) && isMajority(evidence.domains, names);
};
