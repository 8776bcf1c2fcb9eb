/** Scenario state and helpers that the steps of all services share. */
import assert from 'node:assert/strict';
import { openMetrics, type Metrics } from '@jacinthlug/catalog/Metrics';
import type { PlatformSettings } from '@jacinthlug/settings/process/hostSettings';
import type { Standin } from '@jacinthlug/standins/core/startStandinServer';
import type { Result } from 'neverthrow';
import { request } from 'undici';

/** Address that makes a stand-in listen on a free port. */
export const freeAddress = { host: '127.0.0.1', port: 0 };

/** Timeout for a call in tests; the fault `delayMs` of slow scenarios is longer. Unit: ms. */
const CALL_TIMEOUT_MS = 1000;

/** State of every scenario. */
export interface World {
  standin: Standin;
  metrics: Metrics;
  closers: (() => unknown)[];
}

/**
 * Prepares a scenario that uses a stand-in.
 *
 * @param world - state of the scenario
 * @param standin - the stand-in
 * @returns settings with the addresses of the stand-in
 */
export const useStandin = (world: World, standin: Standin): PlatformSettings => {
  const { url } = standin;
  Object.assign(world, { standin, metrics: openMetrics('test'), closers: [() => standin.close()] });
  return {
    table: { url, name: 'jacinthlug' },
    objects: { url, bucket: 'jacinthlug' },
    hosts: { url: `${url}/hosts` },
    region: 'local',
    accessKeyId: 'jacinthlug',
    secretAccessKey: 'jacinthlug',
    callLimitMs: CALL_TIMEOUT_MS,
  };
};

/**
 * Sets the faults of the stand-in.
 *
 * @param world - state of the scenario
 * @param faults - faults as JSON
 */
export const setFaults = async ({ standin }: World, faults: string): Promise<void> => {
  const { statusCode, body } = await request(`${standin.url}/_standin/faults`, {
    method: 'POST',
    body: faults,
  });
  assert.equal(statusCode, 200, await body.text());
};

/**
 * Returns the value of a successful result; the scenario fails for any other result.
 *
 * @param result - the result
 * @returns its value
 */
export const expectValue = <Value>(result: Result<Value, unknown>): Value =>
  result.match(
    (value) => value,
    (failure) => assert.fail(JSON.stringify(failure)),
  );
