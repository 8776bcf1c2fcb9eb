/** Follows the configuration: watchers read the table, all other processes poll their parent. */
import type { Member } from '@jacinthlug/protocol/members';
import { queryPeer, MAX_HOLD_MS } from './queryPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';
import { readTable } from './readTable.js';
import { parentRank, rankNames, WATCHERS_PER_DOMAIN } from './tree.js';

/** Time between reads of the table by a watcher. Unit: ms. */
const WATCHER_READ_INTERVAL_MS = 500;

/** Maximum age of the proof for which the poll of a source counts as successful. Unit: ms. */
const MAX_SOURCE_PROOF_AGE_MS = 2000;

/** Delay after all sources failed. Unit: ms. */
const FAILED_ROUND_DELAY_MS = 250;

/**
 * Mean time between reads of the table by a process that is not a watcher, while its sources fail. All
 * processes together must use at most half of the read capacity of a slow table (1,000 processes:
 * 500 reads/s). Unit: ms.
 */
const FALLBACK_READ_INTERVAL_MS = 2000;

/** Position of a process in the tree, with the members of its failure domain. */
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
 * Checks whether a process reads the table and the host list itself.
 *
 * @param dependencies - this process and the members
 * @returns whether it is a watcher of its failure domain
 */
export const isWatcher = (dependencies: FollowerDependencies): boolean =>
  getPosition(dependencies).rank < WATCHERS_PER_DOMAIN;

/** Returns the parent, then the grandparent or the other watcher, then a random other process. */
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

/** Polls the sources in order until one of them provides a recent proof. */
const pollSources = async (
  dependencies: FollowerDependencies,
  held: HeldConfiguration,
  sources: readonly Member[],
): Promise<boolean> => {
  for (const [index, source] of sources.entries()) {
    const holdMs = index === 0 ? MAX_HOLD_MS : 0;
    const hasResponse = await queryPeer(dependencies, held, source, {
      holdMs,
      includeMembers: true,
    });
    dependencies.metrics.count('configuration.polls', { source: index === 0 ? 'parent' : 'other' });
    if (hasResponse && hasRecentProof(held)) return true;
  }
  return false;
};

/**
 * Follows the configuration until the signal is aborted.
 *
 * @param dependencies - table, peers, members and clock
 * @param held - the held configuration
 * @param signal - ends the task
 */
export const followTree = async (
  dependencies: FollowerDependencies,
  held: HeldConfiguration,
  signal: AbortSignal,
): Promise<void> => {
  const { clock, random = Math.random } = dependencies;
  const readTableDirectly = async (): Promise<void> => {
    dependencies.metrics.count('configuration.polls', { source: 'table' });
    await readTable({ ...dependencies, held });
  };
  let nextDirectReadAt = clock.now();
  while (!signal.aborted) {
    const startedAt = clock.now();
    const position = getPosition(dependencies);
    if (position.rank < WATCHERS_PER_DOMAIN) {
      await readTableDirectly();
      await clock.sleep(WATCHER_READ_INTERVAL_MS - (clock.now() - startedAt), signal);
      continue;
    }
    const isRecent = await pollSources(dependencies, held, chooseSources(position, random));
    if (isRecent || signal.aborted) continue;
    if (clock.now() >= nextDirectReadAt) {
      nextDirectReadAt = clock.now() + FALLBACK_READ_INTERVAL_MS * (0.5 + random());
      await readTableDirectly();
    }
    await clock.sleep(FAILED_ROUND_DELAY_MS, signal);
  }
};
