/** Knows whether the target answers and which models it serves. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import { probeTarget } from './probeTarget.js';

const modelList = z.object({ data: z.array(z.object({ id: z.string() })) });

const CHECK_INTERVAL_MS = 1000;

/** A target that restarts is back in service soon after it accepts connections. Unit: ms. */
const DOWN_CHECK_INTERVAL_MS = 100;

const REQUEST_TIMEOUT_MS = 1000;

/** An engine under full load may be late once. */
const FAILURES_BEFORE_DOWN = 3;

/** Knows whether the target answers and which models it serves. */
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
   * Calls a listener whenever the target goes up or down.
   *
   * @param listener - called after the change
   */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Looks at the target once, then again and again until stopped. */
  async start(): Promise<void> {
    await this.checkNow();
    this.task = this.poll();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /** Notes that the target crashed or refuses connections. */
  markDown(): void {
    this.setState('down');
  }

  /** Looks at the target now. */
  async checkNow(): Promise<void> {
    const looks = { engine: () => this.fetchModels(), service: () => this.probe() };
    await looks[this.target.kind]();
  }

  private async poll(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const periodMs = this.isUp ? CHECK_INTERVAL_MS : DOWN_CHECK_INTERVAL_MS;
      await sleep(periodMs, undefined, { signal, ref: false }).catch(() => undefined);
      if (!signal.aborted) await this.checkNow();
    }
  }

  private async probe(): Promise<void> {
    this.setState((await probeTarget(new URL(this.target.url))) ? 'up' : 'down');
  }

  private async fetchModels(): Promise<void> {
    try {
      const answer = await request(new URL('/v1/models', this.target.url), {
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const list = modelList.parse(await answer.body.json());
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
