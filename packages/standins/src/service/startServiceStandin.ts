/** Stand-in of a plain service: answers any path and counts what it ran. */
import {
  TargetServer,
  type RequestContext,
  type ListenOptions,
  type TargetStandin,
} from '../target/TargetServer.js';

/** The service behind its HTTP server. */
class PlainService {
  readonly server: TargetServer;

  private readonly runsByPath = new Map<string, number>();

  constructor(options: ListenOptions) {
    this.server = new TargetServer(options, (call) => this.run(call));
  }

  private run(call: RequestContext): void {
    const number = (this.runsByPath.get(call.path) ?? 0) + 1;
    this.runsByPath.set(call.path, number);
    const answer = { path: call.path, method: call.method, number };
    const { cutAfterTokens } = this.server.faults;
    if (cutAfterTokens === undefined) this.server.respond(call, 200, answer);
    else this.sendTruncatedResponse(call, JSON.stringify(answer), cutAfterTokens);
  }

  private sendTruncatedResponse(call: RequestContext, text: string, length: number): void {
    call.logged.setOutcome('cut');
    call.response.writeHead(200, {
      ...this.server.createIdHeaders(call),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    call.response.write(text.slice(0, length), () => call.response.destroy());
  }
}

/**
 * Starts a service stand-in.
 *
 * A run is counted before its answer is sent, so a lost answer belongs to a request that has run.
 *
 * @param options - where to listen
 * @returns the running stand-in
 */
export const startServiceStandin = async (options: ListenOptions = {}): Promise<TargetStandin> => {
  const { server } = new PlainService(options);
  await server.listen();
  return { url: server.url, close: () => server.close() };
};
