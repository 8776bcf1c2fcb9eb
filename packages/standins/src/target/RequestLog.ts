/** Request log of a target stand-in, read by tests. */
import type { LoggedRequest } from './LoggedRequest.js';

/** Maximum number of logged requests; older ones are dropped to limit memory use in long runs. */
const MAX_LOGGED_REQUESTS = 100_000;

/** Log of requests in order of arrival. */
export class RequestLog {
  private requests: LoggedRequest[] = [];

  add(request: LoggedRequest): void {
    this.requests.push(request);
    if (this.requests.length > 2 * MAX_LOGGED_REQUESTS) this.requests = this.all().slice();
  }

  all(): readonly LoggedRequest[] {
    return this.requests.slice(-MAX_LOGGED_REQUESTS);
  }

  /**
   * Finds the id of a different request.
   *
   * @param id - id to exclude
   * @returns the most recent different id; a generated one if there is none
   */
  findOtherId(id: string): string {
    const others = this.requests
      .map(({ headers }) => headers['x-request-id'])
      .filter((other) => typeof other === 'string' && other !== id);
    return (others.pop() as string | undefined) ?? `not-${id}`;
  }
}
