/** The version that a process holds, with its proof and the answers of peers. */
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

/** The version that a process holds. */
export interface HeldConfiguration {
  resolved(): ResolvedConfiguration | undefined;
  /** Highest version held; 0 when none. */
  version(): number;
  mode(): ConfigurationMode;
  allowsEdits(): boolean;
  /** Age of the proof; nothing without one. Unit: ms. */
  proofAge(): number | undefined;
  /** Adopts a version unless it is not higher than the held one. */
  adopt(configuration: Configuration): void;
  /** Notes that a version exists, so that a lower one is not served in an outage. */
  recordSeenVersion(version: number): void;
  /** Notes that a version was current at a time; counts only for the held version. */
  recordProof(version: number, provenAt: number): void;
  /** Takes in the answer of a peer. */
  applyResponse(peer: Member, calledAt: number, answer: ConfigurationState): void;
  onAdopt(listener: (catalogue: ResolvedConfiguration) => void): () => void;
}

/** What the held configuration needs. */
export interface HeldConfigurationDependencies {
  readonly self: Member;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly journal: Journal;
}

const isProven = ({ ageMs }: ConfigurationState): boolean =>
  ageMs !== null && ageMs <= MAX_PROOF_AGE_MS;

/**
 * Creates the holder of the configuration, without a version.
 *
 * @param parts - what it needs
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
  const answers = new Map<string, PeerEvidence>();
  const listeners = new Set<(catalogue: ResolvedConfiguration) => void>();

  const liveDomains = (): Map<string, string> => {
    const live = membership.all().filter(({ state }) => state === 'live');
    if (live.length === 0) return new Map();
    return new Map([...live, self].map(({ name, failureDomain }) => [name, failureDomain]));
  };
  const evidence = (): Evidence => ({
    now: clock.now(),
    self: self.name,
    version: current?.version,
    highestSeen,
    provenAt,
    servedBefore,
    domains: liveDomains(),
    responses: [...answers.values()],
  });
  const mode = (): ConfigurationMode => {
    // The common case needs no look at the evidence.
    const found =
      current && isFresh(provenAt, clock.now())
        ? ('confirmed' as const)
        : determineMode(evidence());
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
    const catalogue = resolveConfiguration(configuration);
    current = catalogue;
    highestSeen = Math.max(highestSeen, catalogue.version);
    journal.record('configuration-adopted', { version: catalogue.version });
    listeners.forEach((listener) => listener(catalogue));
  };
  const noteVersion = (version: number): void => {
    highestSeen = Math.max(highestSeen, version);
  };
  const prove = (version: number, at: number): void => {
    if (!current || version > current.version) return;
    if (version < current.version) {
      // A proof older than the held one belongs to an answer that was overtaken.
      if (provenAt !== undefined && at > provenAt) {
        journal.record('older-version-refused', { offered: version, held: current.version });
      }
      return;
    }
    provenAt = Math.max(provenAt ?? at, at);
  };
  const forgetOldAnswers = (): void => {
    const limit = clock.now() - MAX_PROOF_AGE_MS;
    answers.forEach(({ calledAt }, peer) => {
      if (calledAt < limit) answers.delete(peer);
    });
  };
  return {
    resolved: () => current,
    version: () => current?.version ?? 0,
    mode,
    allowsEdits: () => allowsEdits(evidence()),
    proofAge: () => (provenAt === undefined ? undefined : clock.now() - provenAt),
    adopt,
    recordSeenVersion: noteVersion,
    recordProof: prove,
    applyResponse(peer, calledAt, answer) {
      noteVersion(answer.version);
      if (answer.configuration) adopt(answer.configuration);
      if (!current && answer.version === 0 && isProven(answer)) adopt(emptyConfiguration);
      const at = computeProofTime(calledAt, answer);
      if (at !== undefined) prove(answer.version, at);
      forgetOldAnswers();
      answers.set(peer.name, {
        peer: peer.name,
        calledAt,
        mode: answer.mode,
        version: answer.version,
        reachesTable: answer.reachesTable,
        proven: isProven(answer),
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
