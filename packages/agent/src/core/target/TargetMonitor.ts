/** Knows whether the target answers and which models it serves. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';
import { probeTarget } from './probeTarget.js';

const modelList = z.object({ data: z.array(z.object({ id: z.string() })) });

const PERIOD_MS = 1000;

/** A target that restarts is back in service soon after it accepts connections. Unit: ms. */
const DOWN_PERIOD_MS = 100;

const CALL_LIMIT_MS = 1000;

/** An engine under full load may be late once. */
const MAX_MISSED = 3;

/** Knows whether the target answers and which models it serves. */
export class TargetMonitor {
  private state: 'starting' | 'up' | 'down' = 'starting';

  private served: readonly string[] = [];

  private missed = 0;

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
    return this.served;
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
    await this.look();
    this.task = this.follow();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  /** Notes that the target crashed or refuses connections. */
  markDown(): void {
    this.change('down');
  }

  /** Looks at the target now. */
  async look(): Promise<void> {
    const looks = { engine: () => this.readModels(), service: () => this.probe() };
    await looks[this.target.kind]();
  }

  private async follow(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const periodMs = this.isUp ? PERIOD_MS : DOWN_PERIOD_MS;
      await sleep(periodMs, undefined, { signal, ref: false }).catch(() => undefined);
      if (!signal.aborted) await this.look();
    }
  }

  private async probe(): Promise<void> {
    this.change((await probeTarget(new URL(this.target.url))) ? 'up' : 'down');
  }

  private async readModels(): Promise<void> {
    try {
      const answer = await request(new URL('/v1/models', this.target.url), {
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(CALL_LIMIT_MS),
      });
      const list = modelList.parse(await answer.body.json());
      this.served = list.data.map(({ id }) => id);
      this.missed = 0;
      this.change('up');
    } catch (fault) {
      this.missed += 1;
      const isRefused = (fault as { code?: string }).code === 'ECONNREFUSED';
      if (isRefused || this.missed >= MAX_MISSED) this.change('down');
    }
  }

  private change(state: 'up' | 'down'): void {
    if (this.state === state) return;
    this.state = state;
    if (state === 'down') {
      this.served = [];
      this.journal.record('target-unavailable', { target: this.target.name });
    }
    this.listeners.forEach((listener) => listener());
  }
}
