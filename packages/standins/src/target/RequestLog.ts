/** What a stand-in of a target was given, for tests to read. */
import type { LoggedRequest } from './LoggedRequest.js';

/** Requests kept; the oldest are dropped beyond it, so that a long run stays in memory. */
const MAX_LOGGED_REQUESTS = 100_000;

/** Requests in order of arrival. */
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
   * Finds an id that another request carried.
   *
   * @param id - id of the request whose answer is crossed
   * @returns the latest other id; a made-up one when there is none
   */
  findOtherId(id: string): string {
    const others = this.requests
      .map(({ headers }) => headers['x-request-id'])
      .filter((other) => typeof other === 'string' && other !== id);
    return (others.pop() as string | undefined) ?? `not-${id}`;
  }
}
