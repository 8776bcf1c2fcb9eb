/** HTTP server that sends scripted responses and records the requests. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';

/** A scripted response. */
export interface FakeResponse {
  /** HTTP status, `lost` to close without a response, or `cut` to close after half of the body. */
  readonly status: string;
  readonly body: string;
}

/** A received request. */
export interface FakeRequest {
  /** Method and path. */
  readonly call: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** HTTP server that sends scripted responses and records the requests. */
export class FakeEntryHost {
  readonly requests: FakeRequest[] = [];

  private readonly responses = new Map<string, FakeResponse[]>();

  private readonly server = createServer((request, response) => {
    void this.serve(request, response);
  });

  /**
   * Starts listening on a free port.
   *
   * @returns base URL
   */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /**
   * Adds a response. The responses to a call are sent in order; the last one is sent repeatedly.
   *
   * @param call - method and path
   * @param response - the response
   */
  addResponse(call: string, response: FakeResponse): void {
    this.responses.set(call, [...(this.responses.get(call) ?? []), response]);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = `${request.method} ${request.url}`;
    this.requests.push({ call, headers: request.headers, body: await text(request) });
    const [next = { status: '404', body: '{}' }, ...remaining] = this.responses.get(call) ?? [];
    if (remaining.length > 0) this.responses.set(call, remaining);
    if (next.status === 'lost') {
      response.destroy();
      return;
    }
    const { body } = next;
    const isCut = next.status === 'cut';
    response.writeHead(isCut ? 200 : Number(next.status), { 'content-length': body.length });
    if (isCut) response.write(body.slice(0, body.length / 2), () => response.destroy());
    else response.end(body);
  }
}
