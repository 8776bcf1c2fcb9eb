/** What an entry host needs from the rate shares of client accounts. */
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ShareResponse, ShareRequest } from '@jacinthlug/protocol/messages';
import type { Account } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Result } from 'neverthrow';

/** One request counted against an account's rate. */
export interface Permit {
  readonly shard: number;
  /** Generation of the share that was debited. */
  readonly generation: number;
}

/** Counts requests against the fleet-wide rate and burst of accounts. */
export interface RateShares {
  /**
   * Debits one request. Call it as late as possible before the request is forwarded.
   *
   * @param account - account of the key
   * @returns the permit, or `rate-exceeded` or `rate-unavailable`
   */
  acquire(account: Account): Promise<Result<Permit, Refusal>>;

  /**
   * Gives a permit back whose request was provably not run.
   *
   * @param account - account of the key
   * @param permit - the unused permit
   */
  refund(account: Account, permit: Permit): void;

  /**
   * Answers a holder, when this host is the home of the shard.
   *
   * @param question - demands of the holder
   * @returns shares, or who the home is
   */
  handleRequest(question: ShareRequest): Promise<ShareResponse>;

  /** Starts the tasks that renew home leases and shares. */
  start(): void;

  /** Gives shares back, releases home leases and stops the tasks. */
  stop(): Promise<void>;
}
