/** Fake agent that implements the inner protocol and records the requests that its target ran. */
import { EventEmitter } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import { refuse, type ResultName } from '@jacinthlug/catalog/resultCodes';
import { createControlListener } from '@jacinthlug/protocol/controlServer';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import type { Member } from '@jacinthlug/protocol/members';
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';

/** A request as received by the agent. */
export interface ReceivedRequest {
  readonly headers: IncomingMessage['headers'];
  readonly rawHeaders: readonly string[];
  readonly body: string;
}

/** Responds to one request. Behaviours that run the request in the target record it with `countRun`. */
export type Behaviour = (
  agent: FakeAgent,
  received: ReceivedRequest,
  response: ServerResponse,
) => void;

const createHeaders = (agent: FakeAgent, { headers }: ReceivedRequest): Record<string, string> => ({
  [innerHeaders.request]: String(headers[innerHeaders.request]),
  [innerHeaders.load]: JSON.stringify(agent.load),
});

const sendCompleteResponse: Behaviour = (agent, received, response) => {
  agent.countRun(received);
  const body = JSON.stringify({
    ran: agent.runs.length,
    by: agent.member.name,
    echo: received.body,
  });
  response.writeHead(200, {
    ...createHeaders(agent, received),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};

const beginEvents = (
  agent: FakeAgent,
  received: ReceivedRequest,
  response: ServerResponse,
): void => {
  agent.countRun(received);
  response.writeHead(200, {
    ...createHeaders(agent, received),
    'content-type': 'text/event-stream',
  });
  response.write('data: {"choices":[{"index":0,"delta":{"content":"salt"}}]}\n\n');
};

/** Creates a behaviour that refuses requests like an agent. */
export const refuseWith =
  (code: ResultName): Behaviour =>
  (agent, received, response) => {
    if (code === 'target-crashed' || code === 'target-failed') agent.countRun(received);
    const fingerprints = [String(received.headers[innerHeaders.fingerprint])];
    const facts = {
      crash: `${agent.member.name} ${agent.receivedRequests.length}`,
      target: agent.member.name,
      fingerprints,
    };
    const { status, headers, body } = renderRefusal(
      refuse(code, code === 'target-crashed' ? { facts } : {}),
    );
    response.writeHead(status, { ...createHeaders(agent, received), ...headers });
    response.end(JSON.stringify(body));
  };

/** Behaviours by the names used in feature files. */
export const behaviours: Readonly<Record<string, Behaviour>> = {
  answers: sendCompleteResponse,
  'streams an answer': (agent, received, response) => {
    beginEvents(agent, received, response);
    response.end('data: [DONE]\n\n');
  },
  'ends a stream without its final event': (agent, received, response) => {
    beginEvents(agent, received, response);
    response.end();
  },
  'cuts a stream within an event': (agent, received, response) => {
    beginEvents(agent, received, response);
    response.write('data: {"choices":[{"ind', () => response.destroy());
  },
  'holds a stream open': beginEvents,
  'cuts a whole answer': (agent, received, response) => {
    agent.countRun(received);
    response.writeHead(200, { ...createHeaders(agent, received), 'content-length': 100 });
    response.write('{"ran":', () => response.destroy());
  },
  'drops the connection': (agent, received, response) => {
    agent.countRun(received);
    response.destroy();
  },
  'answers with the answer of another request': (agent, received, response) => {
    agent.countRun(received);
    response.writeHead(200, {
      ...createHeaders(agent, received),
      [innerHeaders.request]: 'another',
    });
    response.end('{"secret of":"another"}');
  },
  'answers with status 999': (agent, received, response) => {
    agent.countRun(received);
    response.writeHead(999, createHeaders(agent, received));
    response.end('{"ran":true}');
  },
  'answers with status 000': (agent, received, response) => {
    agent.countRun(received);
    response.socket!.write('HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\n{}');
  },
  'holds its answer': (agent, received, response) => {
    agent.heldResponses.push(() => sendCompleteResponse(agent, received, response));
  },
  'runs without an answer': (agent, received) => agent.countRun(received),
  'stops responding': (agent, received) => {
    agent.countRun(received);
    agent.stopResponding();
  },
  'sends an oversized answer': (agent, received, response) => {
    agent.countRun(received);
    response.writeHead(200, createHeaders(agent, received));
    response.end(Buffer.alloc(8 * 1024 * 1024 + 1, 'x'));
  },
};

/** Fake agent with its target. */
export class FakeAgent {
  readonly receivedRequests: ReceivedRequest[] = [];

  /** Requests that the target ran. */
  readonly runs: ReceivedRequest[] = [];

  /** Behaviours for the next requests. Further requests use `defaultBehaviour`. */
  readonly nextBehaviours: Behaviour[] = [];

  defaultBehaviour: Behaviour = sendCompleteResponse;

  /** Functions that send the responses that are held until a scenario releases them. */
  readonly heldResponses: (() => void)[] = [];

  /** Emits `seen` for each received request and `cancelled` when the entry host closes its connection. */
  readonly events = new EventEmitter();

  /** Number of requests whose connection the entry host closed before the response was complete. */
  cancelledCount = 0;

  private isUnresponsive = false;

  private readonly server: Server;

  private constructor(
    readonly member: Member,
    readonly load: TargetLoadReport,
    server: Server,
  ) {
    this.server = server;
  }

  /** Starts an agent for a service. */
  static async start(
    name: string,
    service: string,
    failureDomain: string,
    models: readonly string[],
    fleetCredential: string,
  ): Promise<FakeAgent> {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    const place = { failureDomain, region: 'coast', state: 'live', service, target: name } as const;
    const member: Member = { name, role: 'agent', address, ...place };
    const counts = { running: 0, waiting: 0, batch: 0, concurrency: 8, expectedWaitMs: 0 };
    const load: TargetLoadReport = {
      target: name,
      service,
      state: 'serving',
      ...counts,
      models: [...models],
    };
    const agent = new FakeAgent(member, load, server);
    const control = createControlListener(
      {
        watchConfiguration: () => Promise.reject(new Error('not served')),
        reportLoad: () => Promise.resolve(load),
      },
      fleetCredential,
    );
    server.on('request', (request: IncomingMessage, response: ServerResponse) => {
      if (agent.isUnresponsive) return;
      if (request.url === '/inner/run') void agent.run(request, response);
      else control(request, response);
    });
    return agent;
  }

  countRun(received: ReceivedRequest): void {
    this.runs.push(received);
  }

  /** Stops responding without closing connections, like a failed host. */
  stopResponding(): void {
    this.isUnresponsive = true;
  }

  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const { headers, rawHeaders } = request;
    const received = { headers, rawHeaders, body: Buffer.concat(chunks).toString('utf8') };
    this.receivedRequests.push(received);
    this.events.emit('seen');
    response.on('close', () => {
      if (response.writableFinished) return;
      this.cancelledCount += 1;
      this.events.emit('cancelled');
    });
    (this.nextBehaviours.shift() ?? this.defaultBehaviour)(this, received, response);
  }
}
