/** Finds the home of a shard. */
import type { Table } from '@jacinthlug/backing/Table';
import * as z from 'zod';
import { getLeaseKey } from './shards.js';

/** Addresses of the home of one shard. */
export interface HomeLocator {
  /**
   * Gives the address to ask.
   *
   * @param failures - how many attempts failed since the home last answered
   * @returns inner address; nothing when no candidate is known
   */
  findAddress(failures: number): Promise<string | undefined>;

  /**
   * Notes what an answer told about the home.
   *
   * @param home - inner address; nothing when the answerer does not know it
   */
  recordHome(home: string | undefined): void;
}

/** What the route needs. */
export interface HomeLocatorDependencies {
  readonly shard: number;
  readonly table: Table;
  /** Addresses of the candidates, best first. */
  listCandidates(): readonly string[];
}

const leaseAddress = z.object({ address: z.string().min(1) });

/**
 * Creates the route to the home of a shard.
 *
 * @param parts - table and candidates
 * @returns the route
 */
export const createHomeLocator = ({
  shard,
  table,
  listCandidates: candidates,
}: HomeLocatorDependencies): HomeLocator => {
  let known: string | undefined;
  const readLease = async (): Promise<string | undefined> => {
    const row = await table.get(getLeaseKey(shard));
    if (row.isErr()) return undefined;
    return leaseAddress.safeParse(row.value?.attributes).data?.address;
  };
  return {
    async findAddress(failures) {
      if (known !== undefined) return known;
      const addresses = candidates();
      const turn = failures % (addresses.length + 1);
      // Once every candidate failed, the lease row tells of a home that is no candidate any more.
      const isLeaseTurn = failures > 0 && turn === addresses.length;
      return (isLeaseTurn ? await readLease() : undefined) ?? addresses[turn] ?? addresses[0];
    },
    recordHome(home) {
      known = home;
    },
  };
};
