/** Calls of a client of batch jobs. */
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './call.mjs';

/** Value of the `Host` header of all calls. */
export const HOST = 'lote.example';

/** Number of failures after which a page is not read again. */
const MAX_READ_FAILURES = 5;

/** @typedef {{ id: string, state: string, text: string }} Result */

/**
 * Describes a route for batch jobs with the figures of the users' sheet.
 *
 * @param {string} name - its name
 * @param {string} prefix - its prefix
 * @param {object} [more] - fields that differ
 * @returns {object} the route
 */
export const createBatchRoute = (name, prefix, more = {}) => ({
  name,
  host: HOST,
  prefix,
  kind: 'batch',
  service: 'writer',
  attempts: 3,
  timeout_ms: 15_000,
  goal_ms: 400,
  completion_target_ms: 18_000,
  retention_s: 60,
  max_count: 990_000,
  priority: 2,
  ...more,
});

/**
 * Describes a configuration.
 *
 * @param {number} version - its version
 * @param {object[]} routes - its routes
 * @param {Record<string, string>} keys - key of each tenant, by name
 * @param {string[]} [services] - names of its services
 * @returns {object} content of `op/config`
 */
export const createConfiguration = (version, routes, keys, services = ['writer']) => ({
  version,
  routes,
  services: services.map((name) => ({ name, engine: { slots: 8 } })),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: Object.entries(keys).map(([name, key]) => ({
    name,
    api_keys: [key],
    rate_per_s: 0,
    burst: 0,
    priority: 0,
  })),
});

/**
 * A client of batch jobs of one tenant.
 */
export class BatchClient {
  /**
   * @param {import('./Record.mjs').Record} record - record of the case
   * @param {string} name - name of the tenant, for the record
   * @param {string} key - its key
   */
  constructor(record, name, key) {
    this.record = record;
    this.name = name;
    this.key = key;
  }

  /**
   * Submits a job until it is accepted.
   *
   * @param {import('./Machine.mjs').Machine} machine - machine that is called
   * @param {string} prefix - prefix of the route
   * @param {string} id - id of the job
   * @param {string[]} items - ids of its items
   * @param {string} [part] - shared part of the prompts of its items, with its tokens
   * @returns {Promise<number>} time of the 202. Unit: s
   */
  async submit(machine, prefix, id, items, part = '9c2e41:100') {
    const requests = items.map((item) => ({
      id: item,
      path: `${prefix}${item}`,
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': '350,396',
        'X-Prompt-Prefix': `${part},${item}:250`,
      },
      body: Buffer.from(`input of ${item}`).toString('base64'),
      token_count: 746,
    }));
    for (;;) {
      const seen = await call({
        host: machine.ip,
        port: machine.port,
        method: 'POST',
        path: `${prefix}new`,
        headers: {
          host: HOST,
          'x-key': this.key,
          'x-request-id': id,
          'x-deadline-ms': '4000',
          'content-type': 'application/json',
        },
        body: JSON.stringify({ requests }),
      });
      this.record.add(
        `${this.name}: POST ${prefix}new with job ${id} answered ${seen.status ?? seen.failure}`,
      );
      if (seen.status === 202) return this.record.now;
      await sleep(300);
    }
  }

  /**
   * Reads the results of a job, page after page.
   *
   * @param {import('./Machine.mjs').Machine} machine - machine that is called
   * @param {string} id - id of the job
   * @param {number} [from] - first position
   * @returns {Promise<Result[]>} results from there on
   */
  async readOnce(machine, id, from = 0) {
    /** @type {Result[]} */
    const results = [];
    let failures = 0;
    while (failures < MAX_READ_FAILURES) {
      const seen = await call({
        host: machine.ip,
        port: machine.port,
        path: `/api/lots/${id}?after=${from + results.length}`,
        headers: { host: HOST, 'x-key': this.key },
      });
      if (seen.status === 200 && seen.isComplete) {
        const page = JSON.parse(seen.body);
        if (page.results.length === 0) break;
        results.push(...page.results);
      } else {
        failures += 1;
        this.record.add(`${this.name}: GET of job ${id} answered ${seen.status ?? seen.failure}`);
        await sleep(300);
      }
    }
    return results;
  }

  /**
   * Reads the results of a job until all are there, or the time is over.
   *
   * @param {import('./Machine.mjs').Machine} machine - machine that is called
   * @param {string} id - id of the job
   * @param {number} count - number of its items
   * @param {number} limitMs - how long to read. Unit: ms
   * @returns {Promise<Result[]>} results at the end
   */
  async read(machine, id, count, limitMs) {
    const endsAt = performance.now() + limitMs;
    let results = await this.readOnce(machine, id);
    while (performance.now() < endsAt && results.length < count) {
      await sleep(400);
      const before = results.length;
      results = await this.readOnce(machine, id);
      if (results.length > before)
        this.record.add(`${this.name}: job ${id} has ${results.length} of ${count} results`);
    }
    results.forEach(({ id: item, state, text }) =>
      this.record.add(
        `${this.name}: result of job ${id}: ${item} is ${state}, ${text.length} characters`,
      ),
    );
    return results;
  }
}
