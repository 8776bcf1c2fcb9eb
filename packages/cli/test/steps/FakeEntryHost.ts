/** HTTP server that gives scripted answers and keeps the requests. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';

/** A scripted answer. */
export interface FakeResponse {
  /** HTTP status; `lost` for no answer, `cut` for half of the body. */
  readonly status: string;
  readonly body: string;
}

/** A request as it came. */
export interface FakeRequest {
  /** Method and path. */
  readonly call: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** HTTP server that gives scripted answers and keeps the requests. */
export class FakeEntryHost {
  readonly requests: FakeRequest[] = [];

  private readonly responses = new Map<string, FakeResponse[]>();

  private readonly server = createServer((request, response) => {
    void this.serve(request, response);
  });

  /**
   * Starts to listen.
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
   * Adds an answer; answers of a call are given in order, the last one again and again.
   *
   * @param call - method and path
   * @param answer - the answer
   */
  addResponse(call: string, answer: FakeResponse): void {
    this.responses.set(call, [...(this.responses.get(call) ?? []), answer]);
  }

  /** Stops listening. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = `${request.method} ${request.url}`;
    this.requests.push({ call, headers: request.headers, body: await text(request) });
    const [answer = { status: '404', body: '{}' }, ...later] = this.responses.get(call) ?? [];
    if (later.length > 0) this.responses.set(call, later);
    if (answer.status === 'lost') {
      response.destroy();
      return;
    }
    const { body } = answer;
    const isCut = answer.status === 'cut';
    response.writeHead(isCut ? 200 : Number(answer.status), { 'content-length': body.length });
    if (isCut) response.write(body.slice(0, body.length / 2), () => response.destroy());
    else response.end(body);
  }
}
