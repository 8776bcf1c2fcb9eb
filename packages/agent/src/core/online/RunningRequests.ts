/** Forwarded requests that have no whole answer yet. */
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { RequestLife } from './RequestLife.js';

/** Forwarded requests that have no whole answer yet. */
export class RunningRequests {
  private readonly lives = new Set<RequestLife>();

  private readonly idleWaiters = new Set<() => void>();

  get size(): number {
    return this.lives.size;
  }

  add(life: RequestLife): void {
    this.lives.add(life);
  }

  remove(life: RequestLife): void {
    this.lives.delete(life);
    if (this.lives.size > 0) return;
    this.idleWaiters.forEach((resolve) => resolve());
    this.idleWaiters.clear();
  }

  /**
   * Ends the requests whose key is not granted any more.
   *
   * @param catalogue - version that was adopted
   */
  endWithdrawn(catalogue: ResolvedConfiguration): void {
    this.lives.forEach((life) => {
      const { key, account } = life.request;
      if (key === undefined) return;
      if (catalogue.findKeyById(key)?.account.name !== account) life.end('key-withdrawn');
    });
  }

  /** Ends all requests, at the shutdown deadline. */
  endAll(): void {
    this.lives.forEach((life) => life.end('stop'));
  }

  /**
   * Waits until all requests have ended.
   *
   * @returns when none is left
   */
  whenIdle(): Promise<void> {
    if (this.lives.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idleWaiters.add(resolve);
    });
  }
}
