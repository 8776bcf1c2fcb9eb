/** Renews the lease of a claimed chunk and detects its loss. */
import type { Claim, ChunkStore } from '@jacinthlug/batch/ChunkStore';
import type { Clock } from '@jacinthlug/batch/Clock';

/** Fraction of the remaining validity after which the lease is renewed; allows for two failures. */
const RENEWAL_FRACTION = 1 / 3;

/** Fraction of the validity after which a renewal without a response from the table is retried. */
const RETRY_FRACTION = 1 / 30;

/** Why a chunk is no longer held. */
export type LeaseEndReason = 'lost' | 'ended';

/** The lease of a claimed chunk. */
export interface Lease {
  /**
   * Checks whether the chunk is held now. A process that was paused for longer than its lease
   * detects the loss here, before any timer has fired.
   *
   * @returns whether work on the chunk may continue
   */
  isHeld(): boolean;

  /** Stops renewing. */
  stop(): void;
}

/**
 * Starts renewing a lease.
 *
 * @param dependencies - chunk store and clock
 * @param claim - the claim
 * @param onEnd - called once when the chunk is no longer held
 * @returns the lease
 */
export const keepLease = (
  { chunks, clock }: { readonly chunks: ChunkStore; readonly clock: Clock },
  claim: Claim,
  onEnd: (reason: LeaseEndReason) => void,
): Lease => {
  const stopping = new AbortController();
  let { heldUntil } = claim;
  const retryMs = (heldUntil - clock.monotonic()) * RETRY_FRACTION;

  const isHeld = (): boolean => !stopping.signal.aborted && clock.monotonic() < heldUntil;

  const end = (reason: LeaseEndReason): void => {
    if (stopping.signal.aborted) return;
    stopping.abort();
    onEnd(reason);
  };

  const expire = async (): Promise<void> => {
    while (isHeld()) await clock.waitUntil(heldUntil, stopping.signal);
    end('lost');
  };

  const nextRenewal = (): number => {
    const now = clock.monotonic();
    return now + (heldUntil - now) * RENEWAL_FRACTION;
  };

  const renew = async (): Promise<void> => {
    let renewAt = nextRenewal();
    while (!stopping.signal.aborted) {
      await clock.waitUntil(renewAt, stopping.signal);
      if (!isHeld()) return;
      const renewed = await chunks.renew(claim);
      if (renewed.isOk()) {
        heldUntil = Math.max(heldUntil, renewed.value);
        renewAt = nextRenewal();
      } else if (renewed.error.kind === 'lost' || renewed.error.kind === 'ended') {
        end(renewed.error.kind);
      } else {
        renewAt = clock.monotonic() + retryMs;
      }
    }
  };

  void expire();
  void renew();
  return { isHeld, stop: () => stopping.abort() };
};
