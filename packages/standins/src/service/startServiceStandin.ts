/** Stand-in for a plain service: accepts any path and counts the requests that it ran. */
import {
  TargetServer,
  type RequestContext,
  type ListenOptions,
  type TargetStandin,
} from '../target/TargetServer.js';

/** A service with its HTTP server. */
class PlainService {
  readonly server: TargetServer;

  private readonly runsByPath = new Map<string, number>();

  constructor(options: ListenOptions) {
    this.server = new TargetServer(options, (context) => this.run(context));
  }

  private run(context: RequestContext): void {
    const number = (this.runsByPath.get(context.path) ?? 0) + 1;
    this.runsByPath.set(context.path, number);
    const result = { path: context.path, method: context.method, number };
    const { cutAfterTokens } = this.server.faults;
    if (cutAfterTokens === undefined) this.server.respond(context, 200, result);
    else this.sendTruncatedResponse(context, JSON.stringify(result), cutAfterTokens);
  }

  private sendTruncatedResponse(context: RequestContext, text: string, length: number): void {
    context.logEntry.setOutcome('cut');
    context.response.writeHead(200, {
      ...this.server.createIdHeaders(context),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    context.response.write(text.slice(0, length), () => context.response.destroy());
  }
}

/**
 * Starts a service stand-in.
 *
 * A run is counted before its response is sent, so a lost response belongs to a request that ran.
 *
 * @param options - address to listen on
 * @returns the running stand-in
 */
export const startServiceStandin = async (options: ListenOptions = {}): Promise<TargetStandin> => {
  const { server } = new PlainService(options);
  await server.listen();
  return { url: server.url, close: () => server.close() };
};
