/** In-memory list of the members of the fleet. */
import { createHash } from 'node:crypto';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Member } from '@jacinthlug/protocol/members';
import type { Membership } from '../Membership.js';

/** The members, with the digest and the change event that spread them to peers. */
export interface ReplicatedMembership extends Membership {
  /**
   * Returns a digest that identifies the list.
   *
   * @returns the digest; empty before the first list
   */
  digest(): string;

  /**
   * Calls a listener after each change of the list.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void;
}

const DIGEST_LENGTH = 16;

const sortByName = (members: readonly Member[]): Member[] =>
  [...new Map(members.map((member) => [member.name, member])).values()].sort((left, right) =>
    left.name < right.name ? -1 : 1,
  );

const computeDigest = (members: readonly Member[]): string =>
  createHash('sha256').update(JSON.stringify(members)).digest('hex').slice(0, DIGEST_LENGTH);

/**
 * Creates an empty membership.
 *
 * @param journal - journal in which changes are recorded
 * @returns the membership
 */
export const createMembership = (journal: Journal): ReplicatedMembership => {
  let members: readonly Member[] = [];
  let digest = '';
  const listeners: (() => void)[] = [];
  const listLive = (role: Member['role']): Member[] =>
    members.filter((member) => member.role === role && member.state === 'live');
  return {
    all: () => members,
    liveEntries: () => listLive('entry'),
    liveAgents: (service) => listLive('agent').filter((member) => member.service === service),
    digest: () => digest,
    onChange(listener) {
      listeners.push(listener);
    },
    update(list) {
      const next = sortByName(list);
      const nextDigest = computeDigest(next);
      // An empty list is an error of the host list, as the fleet contains at least this process.
      if (next.length === 0 || nextDigest === digest) return;
      members = next;
      digest = nextDigest;
      journal.record('membership-changed', { members: members.length, digest });
      listeners.forEach((listener) => listener());
    },
  };
};
