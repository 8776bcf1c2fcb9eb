/** World of the online scenarios. */
import { request, type Dispatcher } from 'undici';
import { configurationContent } from '@jacinthlug/settings/tree/configuration';
import { behaviours, FakeAgent, type Behaviour } from './FakeAgent.js';
import { FakeFollower } from './FakeFollower.js';
import { FakeRates } from './FakeRates.js';
import { FakeSuspects } from './FakeSuspects.js';
import { FakeTable } from './FakeTable.js';
import { FLEET_CREDENTIAL, startEntry, type RunningEntry } from './startEntry.js';

/** Key of the account `harbor`. */
export const HARBOR_KEY = 'jl_h1_saltmarsh';

/** Outcome of an order. */
export interface SentOrder {
  readonly requestId: string;
  readonly run: string | undefined;
}

/** A response or refusal as received by the caller. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData['headers'];
  readonly text: string;
  /** Whether the response ended properly according to HTTP. */
  readonly isComplete: boolean;
}

const models = ['tide-7b'];

const route = (facts: Record<string, unknown>) => ({ kind: 'route', service: 'ledger', ...facts });

const content = configurationContent.parse({
  declarations: {
    nodes: {
      '': { kind: 'root', settings: { timeLimitMs: 20_000 } },
      harbor: { kind: 'account' },
      lighthouse: { kind: 'account' },
      chat: { kind: 'service', protocol: 'openai', models },
      ledger: { kind: 'service', protocol: 'plain' },
      orders: route({ path: '/orders', methods: ['POST'], identityField: '/order/number' }),
      quotes: route({ path: '/quotes', methods: ['POST'], repeatable: true }),
      small: route({ path: '/small', methods: ['POST'], settings: { maxBodyBytes: 16 } }),
      notices: route({ path: '/notices', methods: ['GET', 'POST'], open: true, repeatable: true }),
    },
  },
  keys: {},
});

/** World of one scenario; Cucumber creates one for each. */
export class Scenario {
  readonly table = new FakeTable();

  readonly follower = new FakeFollower(content);

  readonly rates = new FakeRates();

  readonly suspects = new FakeSuspects();

  readonly agents = new Map<string, FakeAgent>();

  readonly entries: RunningEntry[] = [];

  /** Headers of the requests that follow. */
  headers: Record<string, string> = { authorization: `Bearer ${HARBOR_KEY}` };

  /** Responses in order of arrival. */
  readonly responses: ReceivedResponse[] = [];

  /** Orders that were sent under random faults. */
  readonly orders: SentOrder[] = [];

  exitCode: Promise<number> | undefined;

  /** The request that was sent without waiting for its response. */
  pending: Promise<void> | undefined;

  callerGone = new AbortController();

  /** Behaviour of all requests after the first, if a scenario defines the behaviour of the first one. */
  otherBehaviour: Behaviour = behaviours.answers as Behaviour;

  constructor() {
    this.follower.grant('h1', HARBOR_KEY, 'harbor');
  }

  async addAgent(name: string, service: string, failureDomain = 'quay'): Promise<void> {
    const served = service === 'chat' ? models : [];
    this.agents.set(
      name,
      await FakeAgent.start(name, service, failureDomain, served, FLEET_CREDENTIAL),
    );
  }

  agent(name: string): FakeAgent {
    const agent = this.agents.get(name);
    if (!agent) throw new Error(`no agent ${name}`);
    return agent;
  }

  async entry(): Promise<RunningEntry> {
    const running = this.entries.at(-1);
    return running ?? this.startEntry();
  }

  members = () => [...this.agents.values()].map(({ member }) => member);

  async startEntry(): Promise<RunningEntry> {
    const entry = await startEntry(this, 1);
    this.entries.push(entry);
    return entry;
  }

  async send(method: 'GET' | 'HEAD' | 'POST', path: string, body?: string): Promise<void> {
    const { url } = await this.entry();
    const response = await request(`${url}${path}`, {
      method,
      headers: this.headers,
      signal: this.callerGone.signal,
      ...(body !== undefined && { body }),
    });
    const chunks: Buffer[] = [];
    let isComplete = true;
    try {
      for await (const chunk of response.body as AsyncIterable<Buffer>) chunks.push(chunk);
    } catch {
      isComplete = false;
    }
    const text = Buffer.concat(chunks).toString('utf8');
    this.responses.push({
      status: response.statusCode,
      headers: response.headers,
      text,
      isComplete,
    });
  }

  lastResponse(): ReceivedResponse {
    const response = this.responses.at(-1);
    if (!response) throw new Error('no response yet');
    return response;
  }

  countRuns(): number {
    return [...this.agents.values()].reduce((sum, { runs }) => sum + runs.length, 0);
  }

  countReceivedRequests(): number {
    return [...this.agents.values()].reduce(
      (sum, { receivedRequests }) => sum + receivedRequests.length,
      0,
    );
  }

  async close(): Promise<void> {
    await Promise.all([...this.agents.values()].map((agent) => agent.stop()));
    await Promise.all(this.entries.map((entry) => entry.process.stop()));
  }
}
