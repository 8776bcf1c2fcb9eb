/** What the scripts share: a small deployment, calls of clients, and the record of a case. */
import { randomBytes } from 'node:crypto';
import { mkdtemp, rm } from 'node:fs/promises';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Engine } from './engine.mjs';
import { Host } from './host.mjs';
import { Store } from './store.mjs';

export const HOST_NAME = 'nony24.example';
export const ZONES = { bilbao: 'norte', santander: 'norte', oviedo: 'norte' };
export const TENANTS = ['kaje80', 'vilo31'];
export const keyOf = (tenant) => `key-of-${tenant}`;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const createId = () => randomBytes(8).toString('hex');

/** Timeout of the route for queries. Unit: ms. */
export const QUERY_TIMEOUT_MS = 1000;

/** Configuration like that of the site lcs-jacinth. */
export const createConfiguration = (version = 7) => ({
  version,
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  services: [{ name: 'asistente', health_path: '/healthz', engine: { slots: 8 } }],
  routes: [
    {
      name: 'web-chat',
      host: HOST_NAME,
      prefix: '/chat/',
      kind: 'streaming',
      service: 'asistente',
      timeout_ms: 5000,
      goal_ms: 300,
      gap_aim_ms: 200,
      attempts: 1,
      priority: 0,
      sticky: true,
    },
    {
      name: 'price-query',
      host: HOST_NAME,
      prefix: '/query/',
      kind: 'idempotent',
      service: 'asistente',
      timeout_ms: QUERY_TIMEOUT_MS,
      goal_ms: 300,
      attempts: 3,
      priority: 0,
      sticky: true,
    },
    {
      name: 'survey-batch',
      host: HOST_NAME,
      prefix: '/lots/',
      kind: 'batch',
      service: 'asistente',
      timeout_ms: 15_000,
      goal_ms: 400,
      gap_aim_ms: 200,
      attempts: 3,
      priority: 2,
      completion_target_ms: 18_000,
      retention_s: 60,
      max_count: 960_000,
      can_resume: true,
      sticky: true,
    },
  ],
  tenants: TENANTS.map((name) => ({
    name,
    api_keys: [keyOf(name)],
    priority: 0,
    rate_per_s: 0,
    burst: 0,
  })),
});

/** A small deployment: a store, engines and hosts. */
export class Deployment {
  store = new Store();

  engines = [];

  hosts = [];

  async start({ hostZones, engineCount, engineOptions = {}, configuration, onLog }) {
    this.folder = await mkdtemp(join(tmpdir(), 'review-2-'));
    const storeAddress = await this.store.start();
    this.store.write('op', 'config', configuration ?? createConfiguration());
    const zoneNames = Object.keys(ZONES);
    this.engines = Array.from(
      { length: engineCount },
      (_, index) =>
        new Engine({
          id: `i-${createId()}`,
          zone: zoneNames[index % zoneNames.length],
          ...engineOptions,
        }),
    );
    await Promise.all(this.engines.map((engine) => engine.start(this.store)));
    this.hosts = hostZones.map(
      (zone, index) =>
        new Host({
          name: `front-${zone}-${index + 1}`,
          zone,
          zones: ZONES,
          storeAddress,
          folder: this.folder,
          log: (lines) => onLog?.(index, lines),
        }),
    );
    await Promise.all(this.hosts.map((host) => host.start()));
    await Promise.all(this.hosts.map((host) => host.waitUntilReady()));
  }

  async stop() {
    await Promise.all(this.hosts.map((host) => host.stop()));
    this.engines.forEach((engine) => engine.stop());
    this.store.stop();
    if (this.folder) await rm(this.folder, { recursive: true, force: true });
  }
}

/** All calls so far, in the order of their ends. */
export const calls = [];

/**
 * Sends a call on a new connection.
 *
 * @returns status and body; status 0 without a whole answer
 */
export const call = (
  host,
  { method = 'GET', path, key, id, headers = {}, body, timeoutMs = 6000, agent = false },
) =>
  new Promise((resolve) => {
    const { ip, port } = host.address;
    const sentAt = performance.now();
    let hasEnded = false;
    const end = (status, content, answerHeaders = {}) => {
      if (hasEnded) return;
      hasEnded = true;
      const tookMs = performance.now() - sentAt;
      calls.push({ sentAt, host: host.name, method, path, id, status, tookMs });
      resolve({ status, body: content, headers: answerHeaders, sentAt, tookMs });
    };
    const sent = request(
      {
        host: ip,
        port,
        method,
        path,
        agent,
        timeout: timeoutMs,
        headers: {
          host: HOST_NAME,
          ...(key && { 'x-key': key }),
          ...(id && { 'x-request-id': id }),
          ...(body !== undefined && { 'content-length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (answer) => {
        const parts = [];
        answer.on('data', (part) => parts.push(part));
        answer.once('end', () => {
          if (answer.complete) end(answer.statusCode, Buffer.concat(parts), answer.headers);
        });
        answer.once('error', () => undefined);
        answer.once('close', () => end(0, Buffer.concat(parts)));
      },
    );
    sent.once('error', (error) => end(0, Buffer.from(String(error.code ?? error))));
    sent.once('timeout', () => sent.destroy());
    sent.end(body);
  });

/** Sends a chat as the sheet describes it. */
export const sendChat = (
  host,
  tenant,
  {
    id = createId(),
    prefix = '5c1e07a2:100,91bd3f06:100',
    body = 'x'.repeat(1500),
    timeoutMs,
  } = {},
) =>
  call(host, {
    method: 'POST',
    path: `/chat/${id.slice(0, 4)}`,
    key: keyOf(tenant),
    id,
    body,
    timeoutMs,
    headers: {
      'x-model': 'm',
      'x-token-usage': '450,80',
      'x-prompt-prefix': `${prefix},${id.slice(0, 8)}:250`,
      'x-deadline-ms': '5000',
    },
  });

/** Sends a short request that may run more than once. */
export const sendQuery = (host, tenant, timeoutMs, id = createId()) =>
  call(host, {
    method: 'POST',
    path: `/query/${id.slice(0, 4)}`,
    key: keyOf(tenant),
    id,
    body: 'x'.repeat(500),
    timeoutMs,
    headers: {
      'x-model': 'm',
      'x-token-usage': '250,10',
      'x-prompt-prefix': `5c1e07a2:100,${id.slice(0, 8)}:150`,
      'x-deadline-ms': '5000',
    },
  });

/** Creates the items of a batch job. */
export const createItems = (count, bodyBytes, tokens = 600) =>
  Array.from({ length: count }, () => {
    const id = createId();
    return {
      id,
      path: `/lots/${id.slice(0, 4)}`,
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': `${Math.ceil(tokens / 2)},${Math.floor(tokens / 2)}`,
        'X-Prompt-Prefix': `9c2e41:100,${id.slice(0, 8)}:250`,
      },
      body: randomBytes(bodyBytes).toString('base64'),
      token_count: tokens,
    };
  });

/** Submits a batch job. */
export const submit = (host, tenant, job, items, timeoutMs = 4000) =>
  call(host, {
    method: 'POST',
    path: `/lots/${job.slice(0, 4)}`,
    key: keyOf(tenant),
    id: job,
    headers: { 'content-type': 'application/json', 'x-deadline-ms': String(timeoutMs) },
    body: JSON.stringify({ requests: items }),
    timeoutMs,
  });
