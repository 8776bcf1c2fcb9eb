/** Determines the mode of a process from its proof and the responses of its peers (design 5.1). */
import type { ConfigurationMode } from '@jacinthlug/protocol/messages';
import { isFresh, MAX_PROOF_AGE_MS } from './proof.js';

/**
 * Maximum age of a proof with which a process reports that it reaches the table. Half of
 * {@link MAX_PROOF_AGE_MS}: when the table goes down, peers report this before their proofs expire, and
 * no process refuses requests between `confirmed` and `outage`. Unit: ms.
 */
export const TABLE_REACHED_MAX_AGE_MS = MAX_PROOF_AGE_MS / 2;

/** The latest response of a peer. */
export interface PeerEvidence {
  readonly peer: string;
  /** Monotonic time at which the peer was called. Unit: ms. */
  readonly calledAt: number;
  readonly mode: ConfigurationMode;
  readonly version: number;
  readonly reachesTable: boolean;
  /** Whether the proof of the peer was at most {@link MAX_PROOF_AGE_MS} old when it responded. */
  readonly proven: boolean;
}

/** Evidence from which the mode is determined. */
export interface Evidence {
  /** Monotonic time. Unit: ms. */
  readonly now: number;
  /** Name of this process. */
  readonly self: string;
  /** Number of the held version; `undefined` before the first one. */
  readonly version: number | undefined;
  /** Highest version that the table or a peer reported. */
  readonly highestSeen: number;
  /** Monotonic time of the proof. Unit: ms. */
  readonly provenAt: number | undefined;
  /** Whether this process was in mode `confirmed` or `outage` before. */
  readonly servedBefore: boolean;
  /** Failure domain of each live member by name; empty before a member list was read. */
  readonly domains: ReadonlyMap<string, string>;
  readonly responses: readonly PeerEvidence[];
}

/** Returns the voter for which each member counts: its failure domain, or itself. */
const getVoters = (domains: ReadonlyMap<string, string>): ReadonlyMap<string, string> => {
  const severalDomains = new Set(domains.values()).size > 1;
  // With a single failure domain, one process would be a majority, so each process is a voter.
  return severalDomains ? domains : new Map([...domains.keys()].map((name) => [name, name]));
};

/**
 * Checks whether the named processes represent more than half of the failure domains.
 *
 * @param domains - failure domain of each live member by name
 * @param names - names of the processes that responded
 * @returns whether they are a majority; `false` before a member list was read
 */
export const isMajority = (
  domains: ReadonlyMap<string, string>,
  names: readonly string[],
): boolean => {
  const voters = getVoters(domains);
  const all = new Set(voters.values());
  const counted = new Set(names.flatMap((name) => voters.get(name) ?? []));
  return all.size > 0 && counted.size * 2 > all.size;
};

const recentResponses = (evidence: Evidence): PeerEvidence[] =>
  evidence.responses.filter(({ calledAt }) => evidence.now - calledAt <= MAX_PROOF_AGE_MS);

/** Checks whether the proof of a peer that reached the table may still be valid now. */
const stillReachesTable = (evidence: Evidence, response: PeerEvidence): boolean =>
  response.reachesTable &&
  evidence.now - response.calledAt <= MAX_PROOF_AGE_MS - TABLE_REACHED_MAX_AGE_MS;

/**
 * Checks whether this process counts for its own failure domain. If the domain has other members, one
 * of them must respond: otherwise two disconnected processes of different domains that reach each other
 * first would be a majority of three domains.
 */
const countsForOwnDomain = ({ servedBefore, self, domains }: Evidence): boolean => {
  const voters = getVoters(domains);
  const own = voters.get(self);
  const hasOthers = [...voters].some(([name, voter]) => name !== self && voter === own);
  return servedBefore && !hasOthers;
};

const isOutage = (evidence: Evidence): boolean => {
  const version = evidence.version ?? 0;
  // A process that has not served yet has no information of its own, so its response is no evidence.
  const responses = recentResponses(evidence).filter(({ mode }) => mode !== 'starting');
  if (evidence.highestSeen > version) return false;
  if (responses.some((response) => stillReachesTable(evidence, response))) return false;
  const names = responses.map(({ peer }) => peer);
  return isMajority(
    evidence.domains,
    countsForOwnDomain(evidence) ? [...names, evidence.self] : names,
  );
};

/**
 * Determines the mode.
 *
 * @param evidence - proof and responses
 * @returns the mode
 */
export const determineMode = (evidence: Evidence): ConfigurationMode => {
  if (evidence.version === undefined) return 'starting';
  if (isFresh(evidence.provenAt, evidence.now)) return 'confirmed';
  if (isOutage(evidence)) return 'outage';
  return evidence.servedBefore ? 'isolated' : 'starting';
};

/**
 * Checks whether an edit may be accepted. Only responses with a proof count, so that the version spreads
 * among the majority that accepted it even if the table fails right afterwards.
 *
 * @param evidence - proof and responses
 * @returns whether this process and a majority of failure domains hold fresh proofs
 */
export const allowsEdits = (evidence: Evidence): boolean => {
  const proven = recentResponses(evidence).filter((response) => response.proven);
  const names = [...proven.map(({ peer }) => peer), evidence.self];
  return isFresh(evidence.provenAt, evidence.now) && isMajority(evidence.domains, names);
};
