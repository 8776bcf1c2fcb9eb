/** Fleet-wide rate limits of client accounts, as used by an entry host. */
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

/** Enforces the fleet-wide rate and burst of accounts. */
export interface RateShares {
  /**
   * Debits one token for a request. Call it as late as possible before the request is forwarded.
   *
   * @param account - account of the key
   * @returns the permit, or `rate-exceeded` or `rate-unavailable`
   */
  acquire(account: Account): Promise<Result<Permit, Refusal>>;

  /**
   * Refunds the token of a request that was provably not run.
   *
   * @param account - account of the key
   * @param permit - the unused permit
   */
  refund(account: Account, permit: Permit): void;

  /**
   * Handles the share request of a holder.
   *
   * @param request - demands of the holder
   * @returns the granted shares; the address of the home, if known, when it is another host
   */
  handleRequest(request: ShareRequest): Promise<ShareResponse>;

  /** Starts the tasks that renew home leases and shares. */
  start(): void;

  /** Releases shares and home leases, and stops the tasks. */
  stop(): Promise<void>;
}
