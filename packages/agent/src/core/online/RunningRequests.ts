/** Forwarded requests whose response is not complete yet. */
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { RequestLifetime } from './RequestLifetime.js';

/** Forwarded requests whose response is not complete yet. */
export class RunningRequests {
  private readonly lifetimes = new Set<RequestLifetime>();

  private readonly idleWaiters = new Set<() => void>();

  get size(): number {
    return this.lifetimes.size;
  }

  add(lifetime: RequestLifetime): void {
    this.lifetimes.add(lifetime);
  }

  remove(lifetime: RequestLifetime): void {
    this.lifetimes.delete(lifetime);
    if (this.lifetimes.size > 0) return;
    this.idleWaiters.forEach((resolve) => resolve());
    this.idleWaiters.clear();
  }

  /**
   * Aborts the requests whose key is no longer granted.
   *
   * @param configuration - the adopted configuration
   */
  abortWithdrawn(configuration: ResolvedConfiguration): void {
    this.lifetimes.forEach((lifetime) => {
      const { key, account } = lifetime.request;
      if (key === undefined) return;
      if (configuration.findKeyById(key)?.account.name !== account) lifetime.abort('key-withdrawn');
    });
  }

  /** Aborts all requests at the shutdown deadline. */
  abortAll(): void {
    this.lifetimes.forEach((lifetime) => lifetime.abort('stop'));
  }

  /**
   * Waits until all requests have ended.
   *
   * @returns a promise that resolves when no request is left
   */
  whenIdle(): Promise<void> {
    if (this.lifetimes.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.add(resolve);
    });
  }
}
