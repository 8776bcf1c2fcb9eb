/** An agent with a stand-in as its target, driven through its inner address. */
import { createServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import { innerHeaders, RUN_PATH } from '@jacinthlug/protocol/headers';
import type { Member } from '@jacinthlug/protocol/members';
import { targetLoadReport, type TargetLoadReport } from '@jacinthlug/protocol/messages';
import { agentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { InheritedSettings } from '@jacinthlug/settings/tree/declarations';
import type { LoggedRequest } from '@jacinthlug/standins/target/LoggedRequest';
import { startEngineStandin } from '@jacinthlug/standins/engine/startEngineStandin';
import type { TargetStandin } from '@jacinthlug/standins/target/TargetServer';
import { createAgent, type Agent } from '../../src/wiring/createAgent.js';
import { createFakeTable, type FakeTable } from './createFakeTable.js';
import { FakeBatchWorker } from './FakeBatchWorker.js';
import {
  buildConfiguration,
  createFakeFollower,
  getKeyId,
  type FakeFollower,
} from './fakeFollower.js';

/** Fleet credential of the fixture. */
export const FLEET_CREDENTIAL = 'fleet-credential-of-tests';

const MEMBER = {
  name: 'agent-1',
  role: 'agent',
  failureDomain: 'quay',
  region: 'coast',
  state: 'live',
} as const;

/** Timeout for any event of these tests, even on a busy machine. Unit: ms. */
const EVENT_TIMEOUT_MS = 20_000;

const findFreePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

/**
 * Polls until an event has happened.
 *
 * @param hasHappened - checks whether the event has happened
 * @throws Error when the event does not happen in time
 */
export const eventually = async (hasHappened: () => boolean | Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + EVENT_TIMEOUT_MS;
  while (!(await hasHappened())) {
    if (performance.now() > deadline)
      throw new Error(`did not happen in time: ${hasHappened.toString()}`);
    await sleep(5);
  }
};

/** A request to forward to the agent. */
export interface ForwardedRequest {
  readonly id: string;
  readonly account?: string;
  readonly prompt?: string;
  readonly tokens?: number;
  readonly isStreamed?: boolean;
  readonly isKeyless?: boolean;
  /** Whether the body never ends. */
  readonly isEndless?: boolean;
  readonly model?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly onFirstBytes?: () => void;
}

/** A completion request that the target received. */
export interface Run extends Omit<LoggedRequest, 'conclude'> {
  readonly prompt: string;
}

/** The response of the agent. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
  /** Whether the connection failed before the end of the response. */
  readonly isTruncated: boolean;
}

/** An agent with a stand-in as its target. */
export class AgentFixture {
  version = 0;

  private constructor(
    readonly engine: TargetStandin,
    readonly agent: Agent,
    readonly worker: FakeBatchWorker,
    private readonly url: string,
    private readonly settings: Partial<InheritedSettings>,
    readonly follower: FakeFollower,
    readonly table: FakeTable,
    readonly members: Member[],
  ) {}

  static async start(
    settings: Partial<InheritedSettings>,
    options: { readonly batchStreams?: number; readonly stopWithinMs?: number } = {},
  ): Promise<AgentFixture> {
    const engine = await startEngineStandin({ tokenMs: 2, restartMs: 1000 });
    const port = await findFreePort();
    const follower = createFakeFollower();
    const table = createFakeTable();
    const members: Member[] = [{ ...MEMBER, address: `127.0.0.1:${port}` }];
    let worker: FakeBatchWorker | undefined;
    const agent = createAgent({
      settings: agentSettings.parse({
        name: 'agent-1',
        failureDomain: 'quay',
        region: 'coast',
        inner: { host: '127.0.0.1', port },
        fleetCredential: FLEET_CREDENTIAL,
        platform: {
          table: { url: engine.url },
          objects: { url: engine.url },
          hosts: { url: engine.url },
        },
        graceMs: 0,
        stopWithinMs: options.stopWithinMs ?? EVENT_TIMEOUT_MS,
        target: { name: 'engine-1', service: 'engines', url: engine.url, kind: 'engine' },
      }),
      journal: silentJournal,
      metrics: openMetrics('agent-1'),
      createDependencies: () => ({
        follower,
        table,
        membership: {
          all: () => members,
          liveEntries: () => members.filter(({ role }) => role === 'entry'),
          liveAgents: () => [],
          update: () => undefined,
        },
        createBatchWorker: (target) => {
          worker = new FakeBatchWorker(target);
          worker.streams = options.batchStreams ?? 0;
          return worker;
        },
        close: () => Promise.resolve(),
      }),
    });
    if (!worker) throw new Error('no batch worker was created');
    const url = `http://127.0.0.1:${port}`;
    const fixture = new AgentFixture(
      engine,
      agent,
      worker,
      url,
      settings,
      follower,
      table,
      members,
    );
    fixture.adoptGrants(['harbor', 'lantern']);
    await agent.start();
    return fixture;
  }

  /** Adopts a configuration in which only the keys of these accounts are granted. */
  adoptGrants(
    accounts: readonly string[],
    changes: Partial<InheritedSettings> = {},
    models: readonly string[] = ['atlas-7b'],
  ): void {
    this.version += 1;
    const settings = { ...this.settings, ...changes };
    this.follower.adopt(buildConfiguration(this.version, accounts, settings, models));
  }

  /** Forwards a chat completion request as an entry host does. */
  async forward(request: ForwardedRequest, signal?: AbortSignal): Promise<ReceivedResponse> {
    const { id, account = 'harbor', prompt = id, tokens = 3, isStreamed = true } = request;
    const { model = 'atlas-7b' } = request;
    const messages = [{ role: 'user', content: prompt }];
    const body = JSON.stringify({ model, messages, stream: isStreamed, max_tokens: tokens });
    const endlessBody = new ReadableStream({
      start: (controller) => controller.enqueue(Buffer.from(body)),
    });
    const response = await fetch(`${this.url}${RUN_PATH}`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        [innerHeaders.fleet]: FLEET_CREDENTIAL,
        [innerHeaders.request]: id,
        ...(request.isKeyless
          ? {}
          : { [innerHeaders.account]: account, [innerHeaders.key]: getKeyId(account) }),
        [innerHeaders.service]: 'engines',
        [innerHeaders.route]: 'openai',
        [innerHeaders.repeatable]: 'true',
        [innerHeaders.version]: String(this.version),
        [innerHeaders.remainingMs]: '60000',
        [innerHeaders.waitLimitMs]: '60000',
        [innerHeaders.fingerprint]: `print-${id}`,
        [innerHeaders.method]: 'POST',
        [innerHeaders.path]: '/v1/chat/completions',
        ...request.headers,
      },
      ...(request.isEndless ? { body: endlessBody, duplex: 'half' } : { body }),
      signal: signal ?? null,
    });
    const decoder = new TextDecoder();
    let text = '';
    try {
      for await (const chunk of response.body ?? []) {
        text += decoder.decode(chunk as Uint8Array);
        request.onFirstBytes?.();
      }
    } catch {
      return { status: response.status, headers: response.headers, text, isTruncated: true };
    }
    return { status: response.status, headers: response.headers, text, isTruncated: false };
  }

  /** Lists all requests that the target received. */
  async listLoggedRequests(): Promise<Omit<LoggedRequest, 'conclude'>[]> {
    const response = await fetch(`${this.engine.url}/_standin/requests`);
    return (await response.json()) as Omit<LoggedRequest, 'conclude'>[];
  }

  /** Lists the completion requests that the target received, identified by their prompt. */
  async listRuns(): Promise<Run[]> {
    const logged = await this.listLoggedRequests();
    return logged
      .filter(({ path }) => path === '/v1/chat/completions')
      .map((run) => {
        const body = JSON.parse(run.body) as { messages: { content: string }[] };
        return { ...run, prompt: body.messages[0]?.content ?? '' };
      });
  }

  /** Waits until the target has received requests with these prompts. */
  async waitUntilInTarget(...prompts: string[]): Promise<void> {
    await eventually(async () => {
      const received = (await this.listRuns()).map(({ prompt }) => prompt);
      return prompts.every((prompt) => received.includes(prompt));
    });
  }

  /** Adds an entry host to the members known to the agent. */
  addEntry(address: string): void {
    this.members.push({ ...MEMBER, name: 'entry-1', role: 'entry', address });
  }

  async getLoadReport(): Promise<TargetLoadReport> {
    const response = await fetch(`${this.url}/inner/trpc/load.report`, {
      headers: { [innerHeaders.fleet]: FLEET_CREDENTIAL },
    });
    const report = (await response.json()) as { result: { data: unknown } };
    return targetLoadReport.parse(report.result.data);
  }

  async setFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    await fetch(`${this.engine.url}/_standin/faults`, { method: 'POST', body });
  }

  async stop(): Promise<void> {
    await this.agent.stop();
    await this.engine.close();
  }
}
