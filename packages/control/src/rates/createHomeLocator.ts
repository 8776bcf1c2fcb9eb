/** Locates the home of a shard. */
import type { Table } from '@jacinthlug/backing/Table';
import * as z from 'zod';
import { getLeaseKey } from './shards.js';

/** Locates the home of one shard. */
export interface HomeLocator {
  /**
   * Returns the address to which the next share request is sent.
   *
   * @param failures - number of failed attempts since the home last responded
   * @returns inner address; `undefined` when no candidate is known
   */
  findAddress(failures: number): Promise<string | undefined>;

  /**
   * Records the home that a response named.
   *
   * @param home - inner address; `undefined` when the responder does not know it
   */
  recordHome(home: string | undefined): void;
}

/** Dependencies of {@link HomeLocator}. */
export interface HomeLocatorDependencies {
  readonly shard: number;
  readonly table: Table;
  /** Returns the addresses of the candidates, best first. */
  listCandidates(): readonly string[];
}

const leaseAddress = z.object({ address: z.string().min(1) });

/**
 * Creates the locator of the home of a shard.
 *
 * @param dependencies - table and candidates
 * @returns the locator
 */
export const createHomeLocator = ({
  shard,
  table,
  listCandidates,
}: HomeLocatorDependencies): HomeLocator => {
  let knownHome: string | undefined;
  const readLease = async (): Promise<string | undefined> => {
    const row = await table.get(getLeaseKey(shard));
    if (row.isErr()) return undefined;
    return leaseAddress.safeParse(row.value?.attributes).data?.address;
  };
  return {
    async findAddress(failures) {
      if (knownHome !== undefined) return knownHome;
      const addresses = listCandidates();
      const attempt = failures % (addresses.length + 1);
      // After all candidates failed, the lease row may name a home that is no longer a candidate.
      const shouldReadLease = failures > 0 && attempt === addresses.length;
      return (
        (shouldReadLease ? await readLease() : undefined) ?? addresses[attempt] ?? addresses[0]
      );
    },
    recordHome(home) {
      knownHome = home;
    },
  };
};
