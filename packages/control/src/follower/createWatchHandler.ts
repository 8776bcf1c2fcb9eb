/** Handles the configuration requests of peers by long polling. */
import type { ConfigurationState, ConfigurationWatchRequest } from '@jacinthlug/protocol/messages';
import type { Notifier } from '../time/createNotifier.js';
import { immediateQuery, queryPeer, MAX_HOLD_MS } from './queryPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';
import { TABLE_REACHED_MAX_AGE_MS } from './mode.js';

/** Maximum age of the proof for a hold; with an older proof, a hold only delays the peer. Unit: ms. */
const MAX_HOLD_PROOF_AGE_MS = 2000;

/** Handles a request of a peer. */
export type WatchHandler = (request: ConfigurationWatchRequest) => Promise<ConfigurationState>;

/**
 * Creates the handler.
 *
 * @param dependencies - members and suspects to send
 * @param held - the held configuration
 * @param changes - wakes held responses
 * @param signal - ends held responses
 * @returns the handler
 */
export const createWatchHandler = (
  dependencies: FollowerDependencies,
  held: HeldConfiguration,
  changes: Notifier,
  signal: AbortSignal,
): WatchHandler => {
  const { self, clock, membership, suspects } = dependencies;
  const pendingFetches = new Set<string>();
  const needsMembers = ({ membersDigest }: ConfigurationWatchRequest): boolean =>
    membersDigest !== undefined &&
    membership.digest() !== '' &&
    membersDigest !== membership.digest();
  const hasChanges = (request: ConfigurationWatchRequest): boolean =>
    held.version() > request.version ||
    suspects.version() > request.suspectsVersion ||
    needsMembers(request);
  const canHold = (): boolean =>
    !signal.aborted && (held.proofAge() ?? Infinity) <= MAX_HOLD_PROOF_AGE_MS;
  /** Fetches what the peer holds in a higher version, so that changes also spread up the tree. */
  const fetchFromPeer = async (request: ConfigurationWatchRequest): Promise<void> => {
    held.recordSeenVersion(request.version);
    const isBehind =
      request.version > held.version() || request.suspectsVersion > suspects.version();
    const peer = membership.all().find(({ name }) => name === request.asker);
    if (!isBehind || !peer || pendingFetches.has(peer.name)) return;
    pendingFetches.add(peer.name);
    await queryPeer(dependencies, held, peer, immediateQuery);
    pendingFetches.delete(peer.name);
  };
  const holdResponse = async (request: ConfigurationWatchRequest): Promise<number> => {
    const since = clock.now();
    const until = since + Math.min(request.holdMs, MAX_HOLD_MS);
    while (clock.now() < until && canHold() && !hasChanges(request)) {
      await changes.wait(until - clock.now());
    }
    return clock.now() - since;
  };
  return async (request) => {
    void fetchFromPeer(request);
    const heldMs = await holdResponse(request);
    const ageMs = held.proofAge() ?? null;
    const resolved = held.resolved();
    const version = held.version();
    return {
      version,
      mode: held.mode(),
      reachesTable: ageMs !== null && ageMs <= TABLE_REACHED_MAX_AGE_MS,
      heldMs,
      ageMs,
      failureDomain: self.failureDomain,
      ...(resolved && version > request.version ? { configuration: resolved.configuration } : {}),
      suspectsVersion: suspects.version(),
      ...(suspects.version() > request.suspectsVersion ? { suspects: suspects.all() } : {}),
      ...(needsMembers(request) ? { members: [...membership.all()] } : {}),
    };
  };
};
