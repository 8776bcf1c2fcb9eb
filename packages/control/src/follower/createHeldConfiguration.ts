/** The configuration version that a process holds, with its proof of freshness and the responses of peers. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Member } from '@jacinthlug/protocol/members';
import type { ConfigurationMode, ConfigurationState } from '@jacinthlug/protocol/messages';
import {
  resolveConfiguration,
  type ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Configuration } from '@jacinthlug/settings/tree/configuration';
import type { Membership } from '../Membership.js';
import type { Clock } from '../time/Clock.js';
import { allowsEdits, determineMode, type Evidence, type PeerEvidence } from './mode.js';
import { isFresh, MAX_PROOF_AGE_MS, computeProofTime } from './proof.js';

/** The version in force before the first edit. */
export const emptyConfiguration: Configuration = {
  version: 0,
  content: { declarations: { nodes: {} }, keys: {}, drainedHosts: [] },
};

/** The configuration version that a process holds. */
export interface HeldConfiguration {
  /** Returns the resolved configuration; `undefined` before the first version. */
  resolved(): ResolvedConfiguration | undefined;
  /** Returns the number of the held version; 0 when there is none. */
  version(): number;
  mode(): ConfigurationMode;
  allowsEdits(): boolean;
  /** Returns the age of the proof; `undefined` without one. Unit: ms. */
  proofAge(): number | undefined;
  /** Adopts a version if it is higher than the held one. */
  adopt(configuration: Configuration): void;
  /** Records that a version exists, so that a lower one is not served in an outage. */
  recordSeenVersion(version: number): void;
  /** Records that a version was current at a time; applies to the held version only. */
  recordProof(version: number, provenAt: number): void;
  /** Applies the response of a peer. */
  applyResponse(peer: Member, calledAt: number, response: ConfigurationState): void;
  onAdopt(listener: (resolved: ResolvedConfiguration) => void): () => void;
}

/** Dependencies of {@link HeldConfiguration}. */
export interface HeldConfigurationDependencies {
  readonly self: Member;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly journal: Journal;
}

const isProven = ({ ageMs }: ConfigurationState): boolean =>
  ageMs !== null && ageMs <= MAX_PROOF_AGE_MS;

/**
 * Creates a held configuration without a version.
 *
 * @param dependencies - this process, members, clock and journal
 * @returns the held configuration
 */
export const createHeldConfiguration = ({
  self,
  membership,
  clock,
  journal,
}: HeldConfigurationDependencies): HeldConfiguration => {
  let current: ResolvedConfiguration | undefined;
  let highestSeen = 0;
  let provenAt: number | undefined;
  let servedBefore = false;
  let lastMode: ConfigurationMode = 'starting';
  const responses = new Map<string, PeerEvidence>();
  const listeners = new Set<(resolved: ResolvedConfiguration) => void>();

  const getLiveDomains = (): Map<string, string> => {
    const live = membership.all().filter(({ state }) => state === 'live');
    if (live.length === 0) return new Map();
    return new Map([...live, self].map(({ name, failureDomain }) => [name, failureDomain]));
  };
  const createEvidence = (): Evidence => ({
    now: clock.now(),
    self: self.name,
    version: current?.version,
    highestSeen,
    provenAt,
    servedBefore,
    domains: getLiveDomains(),
    responses: [...responses.values()],
  });
  const mode = (): ConfigurationMode => {
    // Skips collecting the evidence in the common case.
    const found =
      current && isFresh(provenAt, clock.now())
        ? ('confirmed' as const)
        : determineMode(createEvidence());
    if (found === 'confirmed' || found === 'outage') servedBefore = true;
    if (found !== lastMode) {
      journal.record('configuration-mode', {
        from: lastMode,
        to: found,
        version: current?.version,
      });
      lastMode = found;
    }
    return found;
  };
  const adopt = (configuration: Configuration): void => {
    if (current && configuration.version <= current.version) return;
    const resolved = resolveConfiguration(configuration);
    current = resolved;
    highestSeen = Math.max(highestSeen, resolved.version);
    journal.record('configuration-adopted', { version: resolved.version });
    listeners.forEach((listener) => listener(resolved));
  };
  const recordSeenVersion = (version: number): void => {
    highestSeen = Math.max(highestSeen, version);
  };
  const recordProof = (version: number, proofAt: number): void => {
    if (!current || version > current.version) return;
    if (version < current.version) {
      // A proof older than the held one comes from a response that was overtaken by another.
      if (provenAt !== undefined && proofAt > provenAt) {
        journal.record('older-version-refused', { offered: version, held: current.version });
      }
      return;
    }
    provenAt = Math.max(provenAt ?? proofAt, proofAt);
  };
  const dropExpiredResponses = (): void => {
    const oldest = clock.now() - MAX_PROOF_AGE_MS;
    responses.forEach(({ calledAt }, peer) => {
      if (calledAt < oldest) responses.delete(peer);
    });
  };
  return {
    resolved: () => current,
    version: () => current?.version ?? 0,
    mode,
    allowsEdits: () => allowsEdits(createEvidence()),
    proofAge: () => (provenAt === undefined ? undefined : clock.now() - provenAt),
    adopt,
    recordSeenVersion,
    recordProof,
    applyResponse(peer, calledAt, response) {
      recordSeenVersion(response.version);
      if (response.configuration) adopt(response.configuration);
      if (!current && response.version === 0 && isProven(response)) adopt(emptyConfiguration);
      const proofAt = computeProofTime(calledAt, response);
      if (proofAt !== undefined) recordProof(response.version, proofAt);
      dropExpiredResponses();
      responses.set(peer.name, {
        peer: peer.name,
        calledAt,
        mode: response.mode,
        version: response.version,
        reachesTable: response.reachesTable,
        proven: isProven(response),
      });
    },
    onAdopt(listener) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
};
