/** What the rest of a process needs to know about the members of the fleet. */
import type { Member } from '@jacinthlug/protocol/members';

/** The members of the fleet, as the host list and peers tell them. */
export interface Membership {
  /**
   * Gives all members, leaving ones included.
   *
   * @returns the members, in order of name
   */
  all(): readonly Member[];

  /**
   * Gives the entry hosts that are live.
   *
   * @returns the members, in order of name
   */
  liveEntries(): readonly Member[];

  /**
   * Gives the agents of a service that are live.
   *
   * @param service - name of the service
   * @returns the members, in order of name
   */
  liveAgents(service: string): readonly Member[];

  /**
   * Replaces the members.
   *
   * @param members - list as read from the platform or told by a peer
   */
  update(members: readonly Member[]): void;
}
