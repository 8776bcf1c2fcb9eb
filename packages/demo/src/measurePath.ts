/**
 * `npm run measure:path`: measures the latency that the system adds to a direct call of an engine
 * stand-in, the throughput of one entry host and the memory of each process.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { deployments } from './launch/deployments.js';
import { startFleet, type Fleet } from './launch/Fleet.js';
import { readResidentMib } from './measure/readProcess.js';

const ROUNDS = 5;
const REQUESTS_PER_ROUND = 200;
const THROUGHPUT_REQUESTS = 2000;
const THROUGHPUT_CONCURRENCY = 16;
const MICROS_PER_MS = 1000;

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const createChatBody = (index: number): string =>
  JSON.stringify({
    model: deployments.small.model,
    messages: [{ role: 'user', content: `window ${index}` }],
    max_tokens: 1,
  });

/** Sends a chat request and reads the complete response. */
const sendChat = async (url: string, secret: string, index: number): Promise<void> => {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
    body: createChatBody(index),
  });
  await response.arrayBuffer();
  if (!response.ok) throw new Error(`chat request failed with status ${response.status}`);
};

const recordRound = async (histogram: Histogram, call: (index: number) => Promise<void>) => {
  for (let index = 0; index < REQUESTS_PER_ROUND; index += 1) {
    const startedAt = performance.now();
    await call(index);
    histogram.recordValue(Math.round((performance.now() - startedAt) * MICROS_PER_MS));
  }
};

const formatLatency = (name: string, histogram: Histogram): string => {
  const ms = (percentile: number) =>
    (histogram.getValueAtPercentile(percentile) / MICROS_PER_MS).toFixed(2);
  return `${name}: median ${ms(50)} ms, 99th ${ms(99)} ms, ${histogram.totalCount} requests`;
};

/** Raises the rate limits of all client accounts, so that they do not bound the throughput. */
const raiseRateLimits = async (fleet: Fleet): Promise<void> => {
  const { url, credential } = fleet.operator;
  const response = await fetch(`${url}/operator/v1/configuration`, {
    headers: { authorization: `Bearer ${credential}` },
  });
  const { version, content } = (await response.json()) as {
    version: number;
    content: { declarations: { nodes: Record<string, { settings: Record<string, number> }> } };
  };
  const limits = { rate: 100_000, burst: 100_000 };
  const nodes = Object.fromEntries(
    Object.entries(content.declarations.nodes).map(([path, node]) => [
      path,
      path.startsWith('accounts') ? { ...node, settings: { ...node.settings, ...limits } } : node,
    ]),
  );
  await fleet.operator.applyDeclarations(version, { nodes } as never);
};

const measureLatency = async (fleet: Fleet, entry: string, secret: string): Promise<void> => {
  const directLatency = build();
  const systemLatency = build();
  const engine = fleet.standins.engines[0] ?? '';
  for (let round = 0; round < ROUNDS; round += 1) {
    await recordRound(directLatency, (index) => sendChat(engine, '', index));
    await recordRound(systemLatency, (index) => sendChat(entry, secret, index));
  }
  printLine(formatLatency('engine stand-in called directly', directLatency));
  printLine(formatLatency('through entry host and agent', systemLatency));
};

const measureThroughput = async (entry: string, secret: string): Promise<void> => {
  const startedAt = performance.now();
  let sentCount = 0;
  const sendRemaining = async (): Promise<void> => {
    while (sentCount < THROUGHPUT_REQUESTS) {
      sentCount += 1;
      await sendChat(entry, secret, sentCount);
    }
  };
  await Promise.all(Array.from({ length: THROUGHPUT_CONCURRENCY }, sendRemaining));
  const seconds = (performance.now() - startedAt) / 1000;
  printLine(
    `one entry host, ${THROUGHPUT_CONCURRENCY} callers: ` +
      `${Math.round(THROUGHPUT_REQUESTS / seconds)} requests/s`,
  );
};

const fleet = await startFleet({
  deployment: 'small',
  verbose: false,
  engineArgs: ['--token-ms', '1', '--token-ms-per-running', '0'],
});
try {
  await raiseRateLimits(fleet);
  const entry = fleet.entries[0]?.url ?? '';
  const secret = fleet.keys.get('web')?.secret ?? '';
  const idleMemory = await Promise.all(
    [...fleet.entries, ...fleet.agents].map(async ({ name, process: { pid } }) => ({
      name,
      mib: await readResidentMib(pid),
    })),
  );
  await measureLatency(fleet, entry, secret);
  await measureThroughput(entry, secret);
  for (const { name, process: child } of [...fleet.entries, ...fleet.agents]) {
    const before = idleMemory.find((host) => host.name === name)?.mib ?? 0;
    const after = await readResidentMib(child.pid);
    printLine(
      `${name}: resident ${before.toFixed(0)} MiB when ready, ${after.toFixed(0)} MiB after`,
    );
  }
} finally {
  await fleet.stop();
}
