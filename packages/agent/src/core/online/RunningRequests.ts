/** Forwarded requests that have no whole answer yet. */
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { RequestLifetime } from './RequestLifetime.js';

/** Forwarded requests that have no whole answer yet. */
export class RunningRequests {
  private readonly lifetimes = new Set<RequestLifetime>();

  private readonly idleWaiters = new Set<() => void>();

  get size(): number {
    return this.lifetimes.size;
  }

  add(life: RequestLifetime): void {
    this.lifetimes.add(life);
  }

  remove(life: RequestLifetime): void {
    this.lifetimes.delete(life);
    if (this.lifetimes.size > 0) return;
    this.idleWaiters.forEach((resolve) => resolve());
    this.idleWaiters.clear();
  }

  /**
   * Ends the requests whose key is not granted any more.
   *
   * @param catalogue - version that was adopted
   */
  abortWithdrawn(catalogue: ResolvedConfiguration): void {
    this.lifetimes.forEach((life) => {
      const { key, account } = life.request;
      if (key === undefined) return;
      if (catalogue.findKeyById(key)?.account.name !== account) life.abort('key-withdrawn');
    });
  }

  /** Ends all requests, at the shutdown deadline. */
  abortAll(): void {
    this.lifetimes.forEach((life) => life.abort('stop'));
  }

  /**
   * Waits until all requests have ended.
   *
   * @returns when none is left
   */
  whenIdle(): Promise<void> {
    if (this.lifetimes.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.add(resolve);
    });
  }
}
