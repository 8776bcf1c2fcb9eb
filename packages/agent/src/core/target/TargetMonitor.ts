/** Monitors whether the target is up and which models it serves. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import { probeTarget } from './probeTarget.js';

const modelList = z.object({ data: z.array(z.object({ id: z.string() })) });

/** Interval between checks of a target that is up. Unit: ms. */
const CHECK_INTERVAL_MS = 1000;

/** Interval while the target is down; short, so that a restart is detected soon. Unit: ms. */
const DOWN_CHECK_INTERVAL_MS = 100;

/** Timeout for one request of the model list. Unit: ms. */
const REQUEST_TIMEOUT_MS = 1000;

/** Failed checks in a row before the target is down; an engine under full load may miss one. */
const FAILURES_BEFORE_DOWN = 3;

/** Monitors whether the target is up and which models it serves. */
export class TargetMonitor {
  private state: 'starting' | 'up' | 'down' = 'starting';

  private servedModels: readonly string[] = [];

  private consecutiveFailures = 0;

  private readonly stopping = new AbortController();

  private task: Promise<void> = Promise.resolve();

  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly target: AgentSettings['target'],
    private readonly dispatcher: Dispatcher,
    private readonly journal: Journal,
  ) {}

  get isUp(): boolean {
    return this.state === 'up';
  }

  get models(): readonly string[] {
    return this.servedModels;
  }

  /**
   * Adds a listener for changes between up and down.
   *
   * @param listener - called after each change
   */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Checks the target once, then periodically until stopped. */
  async start(): Promise<void> {
    await this.checkNow();
    this.task = this.poll();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /** Marks the target as down after a crash or a refused connection. */
  markDown(): void {
    this.setState('down');
  }

  /** Checks the target immediately. */
  async checkNow(): Promise<void> {
    const checks = { engine: () => this.fetchModels(), service: () => this.probe() };
    await checks[this.target.kind]();
  }

  private async poll(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const intervalMs = this.isUp ? CHECK_INTERVAL_MS : DOWN_CHECK_INTERVAL_MS;
      await sleep(intervalMs, undefined, { signal, ref: false }).catch(() => undefined);
      if (!signal.aborted) await this.checkNow();
    }
  }

  private async probe(): Promise<void> {
    this.setState((await probeTarget(new URL(this.target.url))) ? 'up' : 'down');
  }

  private async fetchModels(): Promise<void> {
    try {
      const response = await request(new URL('/v1/models', this.target.url), {
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const list = modelList.parse(await response.body.json());
      this.servedModels = list.data.map(({ id }) => id);
      this.consecutiveFailures = 0;
      this.setState('up');
    } catch (fault) {
      this.consecutiveFailures += 1;
      const isRefused = (fault as { code?: string }).code === 'ECONNREFUSED';
      if (isRefused || this.consecutiveFailures >= FAILURES_BEFORE_DOWN) this.setState('down');
    }
  }

  private setState(state: 'up' | 'down'): void {
    if (this.state === state) return;
    this.state = state;
    if (state === 'down') {
      this.servedModels = [];
      this.journal.record('target-unavailable', { target: this.target.name });
    }
    this.listeners.forEach((listener) => listener());
  }
}
