/** Follows the configuration: watchers read the table, all others poll their parent. */
import type { Member } from '@jacinthlug/protocol/members';
import { askPeer, HOLD_MS } from './askPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerParts } from './FollowerParts.js';
import { readTable } from './readTable.js';
import { parentRank, rankOrder, WATCHERS } from './tree.js';

/** Time between reads of a watcher. Unit: ms. */
const READ_PERIOD_MS = 500;

/** Age of the proof with which a source counts as good. Unit: ms. */
const GOOD_PROOF_MS = 2000;

/** Wait after all sources failed. Unit: ms. */
const FAILED_ROUND_MS = 250;

/**
 * Mean time between reads of the table by a process that is no watcher. All processes together must
 * not load a table that is slow with more than half of its reads (1,000 processes: 500 reads/s).
 */
const OWN_READ_PERIOD_MS = 2000;

/** Position of a process in the tree. */
interface Position {
  readonly rank: number;
  readonly order: readonly string[];
  readonly members: ReadonlyMap<string, Member>;
}

const positionOf = ({ self, membership }: FollowerParts): Position => {
  const domain = membership
    .all()
    .filter(({ failureDomain, state }) => failureDomain === self.failureDomain && state === 'live');
  const members = new Map([...domain, self].map((member) => [member.name, member]));
  const order = rankOrder(self.failureDomain, [...members.keys()]);
  return { rank: order.indexOf(self.name), order, members };
};

/**
 * Tells whether a process reads the table and the host list itself.
 *
 * @param parts - the process and the members
 * @returns whether it is a watcher of its failure domain
 */
export const isWatcher = (parts: FollowerParts): boolean => positionOf(parts).rank < WATCHERS;

/** Gives the parent, then the parent's parent or the other watcher, then another process. */
const sourcesOf = ({ rank, order, members }: Position, random: () => number): Member[] => {
  const parent = parentRank(rank) ?? 0;
  const grandparent = parentRank(parent) ?? (parent + 1) % WATCHERS;
  const others = order.filter((_, other) => ![rank, parent, grandparent].includes(other));
  const another = others[Math.floor(random() * others.length)];
  const names = [order[parent], order[grandparent], another];
  return names.flatMap((name) => (name === undefined ? [] : (members.get(name) ?? [])));
};

const isGood = (held: HeldConfiguration): boolean => (held.proofAge() ?? Infinity) <= GOOD_PROOF_MS;

/** Polls the sources in turn until one of them brings a young proof. */
const pollSources = async (
  parts: FollowerParts,
  held: HeldConfiguration,
  sources: readonly Member[],
): Promise<boolean> => {
  for (const [index, source] of sources.entries()) {
    const holdMs = index === 0 ? HOLD_MS : 0;
    const answered = await askPeer(parts, held, source, { holdMs, wantsMembers: true });
    parts.metrics.count('configuration.polls', { source: index === 0 ? 'parent' : 'other' });
    if (answered && isGood(held)) return true;
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
  parts: FollowerParts,
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
    const position = positionOf(parts);
    if (position.rank < WATCHERS) {
      await readOwn();
      await clock.sleep(READ_PERIOD_MS - (clock.now() - startedAt), signal);
      continue;
    }
    const good = await pollSources(parts, held, sourcesOf(position, random));
    if (good || signal.aborted) continue;
    if (clock.now() >= nextOwnRead) {
      nextOwnRead = clock.now() + OWN_READ_PERIOD_MS * (0.5 + random());
      await readOwn();
    }
    await clock.sleep(FAILED_ROUND_MS, signal);
  }
};
