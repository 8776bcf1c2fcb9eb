/** Calls to peers that the control mechanisms make. */
import type { PeerFailure } from '@jacinthlug/protocol/controlClient';
import type {
  ConfigurationState,
  ConfigurationWatchRequest,
  ShareResponse,
  ShareRequest,
} from '@jacinthlug/protocol/messages';
import type { Result } from 'neverthrow';

/** Calls to peers. None of them repeats a call. */
export interface PeerClient {
  /**
   * Asks a peer for its configuration.
   *
   * @param address - inner address of the peer
   * @param question - what the asker holds
   * @param limitMs - longest time the call may take. Unit: ms
   * @returns the state, or why there is none
   */
  watch(
    address: string,
    question: ConfigurationWatchRequest,
    limitMs: number,
  ): Promise<Result<ConfigurationState, PeerFailure>>;

  /**
   * Asks the home of a shard for shares.
   *
   * @param address - inner address of the home
   * @param question - demands of the asker
   * @param limitMs - longest time the call may take. Unit: ms
   * @returns the answer, or why there is none
   */
  share(
    address: string,
    question: ShareRequest,
    limitMs: number,
  ): Promise<Result<ShareResponse, PeerFailure>>;
}
