/** The members of the fleet, as used by the other components of a process. */
import type { Member } from '@jacinthlug/protocol/members';

/** The members of the fleet, according to the host list and to peers. */
export interface Membership {
  /**
   * Returns all members, including leaving ones.
   *
   * @returns the members, ordered by name
   */
  all(): readonly Member[];

  /**
   * Returns the live entry hosts.
   *
   * @returns the members, ordered by name
   */
  liveEntries(): readonly Member[];

  /**
   * Returns the live agents of a service.
   *
   * @param service - name of the service
   * @returns the members, ordered by name
   */
  liveAgents(service: string): readonly Member[];

  /**
   * Replaces the members.
   *
   * @param members - list read from the platform or received from a peer
   */
  update(members: readonly Member[]): void;
}
