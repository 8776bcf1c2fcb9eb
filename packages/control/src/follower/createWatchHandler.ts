/** Answers peers that ask for the configuration. */
import type { ConfigurationState, ConfigurationWatchRequest } from '@jacinthlug/protocol/messages';
import type { Notifier } from '../time/createNotifier.js';
import { immediateQuery, queryPeer, MAX_HOLD_MS } from './queryPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';
import { TABLE_REACHED_MAX_AGE_MS } from './mode.js';

/** Age of the proof beyond which holding an answer only delays the asker. Unit: ms. */
const MAX_HOLD_PROOF_AGE_MS = 2000;

/** Answers the questions of peers. */
export type WatchHandler = (question: ConfigurationWatchRequest) => Promise<ConfigurationState>;

/**
 * Creates the answerer.
 *
 * @param parts - members and suspects to tell
 * @param held - the held configuration
 * @param news - wakes held answers
 * @param signal - ends held answers
 * @returns the answerer
 */
export const createWatchHandler = (
  parts: FollowerDependencies,
  held: HeldConfiguration,
  news: Notifier,
  signal: AbortSignal,
): WatchHandler => {
  const { self, clock, membership, suspects } = parts;
  const askingBack = new Set<string>();
  const wantsMembers = ({ membersDigest }: ConfigurationWatchRequest): boolean =>
    membersDigest !== undefined &&
    membership.digest() !== '' &&
    membersDigest !== membership.digest();
  const hasNews = (question: ConfigurationWatchRequest): boolean =>
    held.version() > question.version ||
    suspects.version() > question.suspectsVersion ||
    wantsMembers(question);
  const isHoldable = (): boolean =>
    !signal.aborted && (held.proofAge() ?? Infinity) <= MAX_HOLD_PROOF_AGE_MS;
  /** Fetches what the asker holds in a higher version, so that news also travel up the tree. */
  const askBack = async (question: ConfigurationWatchRequest): Promise<void> => {
    held.recordSeenVersion(question.version);
    const isBehind =
      question.version > held.version() || question.suspectsVersion > suspects.version();
    const asker = membership.all().find(({ name }) => name === question.asker);
    if (!isBehind || !asker || askingBack.has(asker.name)) return;
    askingBack.add(asker.name);
    await queryPeer(parts, held, asker, immediateQuery);
    askingBack.delete(asker.name);
  };
  const hold = async (question: ConfigurationWatchRequest): Promise<number> => {
    const since = clock.now();
    const until = since + Math.min(question.holdMs, MAX_HOLD_MS);
    while (clock.now() < until && isHoldable() && !hasNews(question)) {
      await news.wait(until - clock.now());
    }
    return clock.now() - since;
  };
  return async (question) => {
    void askBack(question);
    const heldMs = await hold(question);
    const ageMs = held.proofAge() ?? null;
    const catalogue = held.resolved();
    const version = held.version();
    return {
      version,
      mode: held.mode(),
      reachesTable: ageMs !== null && ageMs <= TABLE_REACHED_MAX_AGE_MS,
      heldMs,
      ageMs,
      failureDomain: self.failureDomain,
      ...(catalogue && version > question.version
        ? { configuration: catalogue.configuration }
        : {}),
      suspectsVersion: suspects.version(),
      ...(suspects.version() > question.suspectsVersion ? { suspects: suspects.all() } : {}),
      ...(wantsMembers(question) ? { members: [...membership.all()] } : {}),
    };
  };
};
