/** The narrow interface to the platform's list of live and leaving hosts. */
import type { Member } from '@jacinthlug/protocol/members';
import type { ResultAsync } from 'neverthrow';

/** The host list did not answer, or answered in another format. */
export interface HostListFailure {
  readonly message: string;
}

/** The platform's lagging list of hosts. */
export interface HostList {
  /**
   * Reads the list.
   *
   * @returns the members of the fleet; entries that do not describe one are left out
   */
  list(): ResultAsync<Member[], HostListFailure>;
}
