/** Follows the configuration: watchers read the table, all others poll their parent. */
import type { Member } from '@jacinthlug/protocol/members';
import { queryPeer, MAX_HOLD_MS } from './queryPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';
import { readTable } from './readTable.js';
import { parentRank, rankNames, WATCHERS_PER_DOMAIN } from './tree.js';

/** Time between reads of a watcher. Unit: ms. */
const WATCHER_READ_INTERVAL_MS = 500;

/** Age of the proof with which a source counts as good. Unit: ms. */
const MAX_SOURCE_PROOF_AGE_MS = 2000;

/** Wait after all sources failed. Unit: ms. */
const FAILED_ROUND_DELAY_MS = 250;

/**
 * Mean time between reads of the table by a process that is no watcher. All processes together must
 * not load a table that is slow with more than half of its reads (1,000 processes: 500 reads/s).
 */
const FALLBACK_READ_INTERVAL_MS = 2000;

/** Position of a process in the tree. */
interface TreePosition {
  readonly rank: number;
  readonly order: readonly string[];
  readonly members: ReadonlyMap<string, Member>;
}

const getPosition = ({ self, membership }: FollowerDependencies): TreePosition => {
  const domain = membership
    .all()
    .filter(({ failureDomain, state }) => failureDomain === self.failureDomain && state === 'live');
  const members = new Map([...domain, self].map((member) => [member.name, member]));
  const order = rankNames(self.failureDomain, [...members.keys()]);
  return { rank: order.indexOf(self.name), order, members };
};

/**
 * Tells whether a process reads the table and the host list itself.
 *
 * @param parts - the process and the members
 * @returns whether it is a watcher of its failure domain
 */
export const isWatcher = (parts: FollowerDependencies): boolean =>
  getPosition(parts).rank < WATCHERS_PER_DOMAIN;

/** Gives the parent, then the parent's parent or the other watcher, then another process. */
const chooseSources = ({ rank, order, members }: TreePosition, random: () => number): Member[] => {
  const parent = parentRank(rank) ?? 0;
  const grandparent = parentRank(parent) ?? (parent + 1) % WATCHERS_PER_DOMAIN;
  const others = order.filter((_, other) => ![rank, parent, grandparent].includes(other));
  const another = others[Math.floor(random() * others.length)];
  const names = [order[parent], order[grandparent], another];
  return names.flatMap((name) => (name === undefined ? [] : (members.get(name) ?? [])));
};

const hasRecentProof = (held: HeldConfiguration): boolean =>
  (held.proofAge() ?? Infinity) <= MAX_SOURCE_PROOF_AGE_MS;

/** Polls the sources in turn until one of them brings a young proof. */
const pollSources = async (
  parts: FollowerDependencies,
  held: HeldConfiguration,
  sources: readonly Member[],
): Promise<boolean> => {
  for (const [index, source] of sources.entries()) {
    const holdMs = index === 0 ? MAX_HOLD_MS : 0;
    const answered = await queryPeer(parts, held, source, { holdMs, includeMembers: true });
    parts.metrics.count('configuration.polls', { source: index === 0 ? 'parent' : 'other' });
    if (answered && hasRecentProof(held)) return true;
  }
  return false;
};

/**
 * Follows the configuration until the signal is aborted.
 *
 * @param parts - table, peers and members
 * @param held - the held configuration
 * @param signal - ends the task
 */
export const followTree = async (
  parts: FollowerDependencies,
  held: HeldConfiguration,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, random = Math.random } = parts;
  const readOwn = async (): Promise<void> => {
    parts.metrics.count('configuration.polls', { source: 'table' });
    await readTable({ ...parts, held });
  };
  let nextOwnRead = clock.now();
  while (!signal.aborted) {
    const startedAt = clock.now();
    const position = getPosition(parts);
    if (position.rank < WATCHERS_PER_DOMAIN) {
      await readOwn();
      await clock.sleep(WATCHER_READ_INTERVAL_MS - (clock.now() - startedAt), signal);
      continue;
    }
    const good = await pollSources(parts, held, chooseSources(position, random));
    if (good || signal.aborted) continue;
    if (clock.now() >= nextOwnRead) {
      nextOwnRead = clock.now() + FALLBACK_READ_INTERVAL_MS * (0.5 + random());
      await readOwn();
    }
    await clock.sleep(FAILED_ROUND_DELAY_MS, signal);
  }
};
