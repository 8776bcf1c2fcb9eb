/** Shards of client accounts and the entry hosts that may become their homes. */
import { createHash } from 'node:crypto';
import type { RowKey } from '@jacinthlug/backing/Table';
import { rendezvousOrder } from '../peers/rendezvous.js';

/** Number of shards. */
export const SHARDS = 32;

/** Entry hosts that watch the lease of a shard: two may be lost before the host list notices. */
export const CANDIDATES = 3;

/**
 * Gives the shard of a client account.
 *
 * @param account - name of the account
 * @returns the shard, from 0
 */
export const shardOf = (account: string): number =>
  createHash('sha256').update(account).digest().readUInt32BE(0) % SHARDS;

/**
 * Gives the candidates for the home of a shard.
 *
 * @param shard - the shard
 * @param names - names of the live entry hosts
 * @returns the names, best candidate first
 */
export const homeCandidates = (shard: number, names: readonly string[]): string[] =>
  rendezvousOrder(`home ${shard}`, [...new Set(names)]).slice(0, CANDIDATES);

/**
 * Gives the key of the lease row of a shard.
 *
 * @param shard - the shard
 * @returns the key
 */
export const leaseKey = (shard: number): RowKey => ({ pk: `home#${shard}`, sk: 'lease' });
