/** Builds configurations, members, demands and shares of a given size for measurements. */
import { createHash } from 'node:crypto';
import type { Member } from '@jacinthlug/protocol/members';
import type { Demand, TargetLoadReport, Share } from '@jacinthlug/protocol/messages';
import { configuration, type Configuration } from '@jacinthlug/settings/tree/configuration';

const KEYS_PER_ACCOUNT = 4;

const range = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

/**
 * Builds a configuration with the given number of client accounts and four keys each.
 *
 * @param accounts - number of client accounts
 * @returns the configuration
 */
export const createConfiguration = (accounts: number): Configuration => {
  const nodes: Record<string, unknown> = {
    '': { kind: 'root' },
    services: { kind: 'group' },
    accounts: { kind: 'group', settings: { rate: 20, burst: 40 } },
  };
  range(5).forEach((index) => {
    nodes[`services/model-${index}`] = {
      kind: 'service',
      protocol: 'openai',
      models: [`model-${index}`],
    };
  });
  range(accounts).forEach((index) => {
    nodes[`accounts/account-${index}`] = { kind: 'account', settings: { rate: 10 + index } };
  });
  const keys = range(accounts * KEYS_PER_ACCOUNT).map((index) => [
    `key${index}`,
    {
      account: `account-${index % accounts}`,
      sha256: createHash('sha256').update(String(index)).digest('hex'),
      state: 'granted',
      changedAt: 1_700_000_000_000 + index,
    },
  ]);
  return configuration.parse({
    version: 1,
    content: { declarations: { nodes }, keys: Object.fromEntries(keys) as unknown },
  });
};

/**
 * Builds the members of a fleet.
 *
 * @param count - number of members
 * @returns the members, in nine failure domains of three regions
 */
export const createMembers = (count: number): Member[] =>
  range(count).map((index) => ({
    name: `host-${index}`,
    role: index % 3 === 0 ? 'entry' : 'agent',
    address: `10.${Math.floor(index / 250)}.${index % 250}.1:7000`,
    failureDomain: `domain-${index % 9}`,
    region: `region-${index % 3}`,
    state: 'live',
    ...(index % 3 === 0 ? {} : { service: `model-${index % 5}`, target: `engine-${index}` }),
  }));

/**
 * Builds the demands of a host for its client accounts.
 *
 * @param count - number of client accounts
 * @returns the demands
 */
export const createDemands = (count: number): Demand[] =>
  range(count).map((index) => ({
    account: `account-${index}`,
    arrivalRate: 3.25 + index,
    refused: 0,
    tokens: 12.5,
    heldRate: 4.75,
    heldCapacity: 8.5,
    generation: 3,
  }));

/**
 * Builds the shares that a home grants in response to demands.
 *
 * @param count - number of client accounts
 * @returns the shares
 */
export const createShares = (count: number): Share[] =>
  range(count).map((index) => ({
    account: `account-${index}`,
    generation: 3,
    rate: 4.75,
    capacity: 8.5,
    tokens: 1.25,
    validMs: 10_000,
  }));

/** A load report of typical size. */
export const loadReportExample: TargetLoadReport = {
  target: 'engine-123',
  service: 'model-3',
  state: 'serving',
  running: 12,
  waiting: 3,
  batch: 4,
  concurrency: 32,
  expectedWaitMs: 41.5,
  models: ['model-3'],
};
