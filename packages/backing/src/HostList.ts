/** Interface to the platform's list of live and leaving hosts. */
import type { Member } from '@jacinthlug/protocol/members';
import type { ResultAsync } from 'neverthrow';

/** Why the host list could not be read: no response, or a response in another format. */
export interface HostListFailure {
  readonly message: string;
}

/** The platform's list of hosts, which lags behind the actual state. */
export interface HostList {
  /**
   * Reads the list.
   *
   * @returns the members of the fleet; invalid entries are omitted
   */
  list(): ResultAsync<Member[], HostListFailure>;
}
