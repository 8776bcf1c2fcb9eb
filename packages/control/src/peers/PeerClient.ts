/** Calls to peers for the configuration and for rate shares. */
import type { PeerFailure } from '@jacinthlug/protocol/controlClient';
import type {
  ConfigurationState,
  ConfigurationWatchRequest,
  ShareResponse,
  ShareRequest,
} from '@jacinthlug/protocol/messages';
import type { Result } from 'neverthrow';

/** Calls peers. A failed call is not retried. */
export interface PeerClient {
  /**
   * Requests the configuration of a peer.
   *
   * @param address - inner address of the peer
   * @param request - versions that the caller holds
   * @param timeoutMs - timeout for the call. Unit: ms
   * @returns the state, or why there is none
   */
  watch(
    address: string,
    request: ConfigurationWatchRequest,
    timeoutMs: number,
  ): Promise<Result<ConfigurationState, PeerFailure>>;

  /**
   * Requests shares from the home of a shard.
   *
   * @param address - inner address of the home
   * @param request - demands of the caller
   * @param timeoutMs - timeout for the call. Unit: ms
   * @returns the response, or why there is none
   */
  share(
    address: string,
    request: ShareRequest,
    timeoutMs: number,
  ): Promise<Result<ShareResponse, PeerFailure>>;
}
