/** Shards of client accounts, and the entry hosts that may become their homes. */
import { createHash } from 'node:crypto';
import type { RowKey } from '@jacinthlug/backing/Table';
import { rendezvousOrder } from '../peers/rendezvous.js';

/** Number of shards. */
export const SHARD_COUNT = 32;

/** Number of entry hosts that watch the lease of a shard: two may fail before the host list shows it. */
export const HOME_CANDIDATE_COUNT = 3;

/**
 * Returns the shard of a client account.
 *
 * @param account - name of the account
 * @returns the shard number, from 0
 */
export const getShard = (account: string): number =>
  createHash('sha256').update(account).digest().readUInt32BE(0) % SHARD_COUNT;

/**
 * Returns the candidates for the home of a shard.
 *
 * @param shard - shard number
 * @param names - names of the live entry hosts
 * @returns the names, best candidate first
 */
export const rankHomeCandidates = (shard: number, names: readonly string[]): string[] =>
  rendezvousOrder(`home ${shard}`, [...new Set(names)]).slice(0, HOME_CANDIDATE_COUNT);

/**
 * Returns the key of the lease row of a shard.
 *
 * @param shard - shard number
 * @returns the key
 */
export const getLeaseKey = (shard: number): RowKey => ({ pk: `home#${shard}`, sk: 'lease' });
