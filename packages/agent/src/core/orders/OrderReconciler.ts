/**
 * Makes the target serve the models that the tree wants: compares, sends one order, looks again.
 *
 * A target that ignores fencing numbers is protected by its agent: it checks right before each order
 * that it still holds the highest number, and after a takeover waits until no order of the former
 * holder can be on its way. A late order nevertheless is corrected by the next comparison.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { TargetMonitor } from '../target/TargetMonitor.js';
import type { FencingNumber, TakenNumber } from './FencingNumber.js';
import { planOrders, type PlannedOrder } from './planOrders.js';
import { ORDER_LIMIT_MS, type OrderOutcome } from './sendOrder.js';

/** What the reconciler works with. */
export interface OrderParts {
  readonly target: AgentSettings['target'];
  readonly monitor: TargetMonitor;
  readonly fencing: FencingNumber;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Gives the wanted models; nothing while no configuration is in force. */
  readonly wanted: () => readonly string[] | undefined;
  readonly send: (
    number: number,
    order: PlannedOrder,
    signal: AbortSignal,
  ) => Promise<OrderOutcome>;
}

/** Time between comparisons. Unit: ms. */
const PERIOD_MS = 5000;

/** Time for which a process that was superseded leaves the orders to the other. Unit: ms. */
const STAND_DOWN_MS = 60_000;

/** Makes the target serve the models that the tree wants. */
export class OrderReconciler {
  private taken: TakenNumber | undefined;

  private quietUntil = 0;

  private readonly stopping = new AbortController();

  private wakeUp = new AbortController();

  private task: Promise<void> = Promise.resolve();

  constructor(private readonly parts: OrderParts) {}

  start(): void {
    this.task = this.follow();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.wake();
    await this.task;
  }

  /** Compares now; call it when the tree or the target has changed. */
  wake(): void {
    this.wakeUp.abort();
  }

  private async follow(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      this.wakeUp = new AbortController();
      if (await this.reconcile()) continue;
      await sleep(PERIOD_MS, undefined, { signal: this.wakeUp.signal }).catch(() => undefined);
    }
  }

  /**
   * Sends the next order that is due.
   *
   * @returns whether it took effect, so that the next may be sent at once
   */
  private async reconcile(): Promise<boolean> {
    const { monitor, wanted } = this.parts;
    const models = wanted();
    if (!monitor.isUp || models === undefined || performance.now() < this.quietUntil) return false;
    const [order] = planOrders(monitor.models, models);
    if (!order) return false;
    const number = await this.holdNumber();
    if (number === undefined || this.stopping.signal.aborted) return false;
    await this.send(number, order);
    return !planOrders(monitor.models, models).some(
      ({ model, action }) => model === order.model && action === order.action,
    );
  }

  private async send(number: number, order: PlannedOrder): Promise<void> {
    const { target, monitor, journal, metrics, send } = this.parts;
    const outcome = await send(number, order, this.stopping.signal);
    metrics.count('orders.sent', { outcome });
    const event = outcome === 'followed' ? 'order-sent' : 'order-refused';
    journal.record(event, { target: target.name, number, ...order, outcome });
    if (outcome === 'old-number') this.standDown();
    // The state that the target reports counts, whatever the answer was.
    await monitor.look();
  }

  /** Gives a number that is the highest at this moment, as far as can be known. */
  private async holdNumber(): Promise<number | undefined> {
    const { target, fencing } = this.parts;
    if (!this.taken) return this.takeNumber();
    if (target.checksFencing) return this.taken.number;
    const isHighest = await fencing.isHighest(this.taken.number);
    if (isHighest.isErr()) return undefined;
    if (!isHighest.value) this.standDown();
    return this.taken?.number;
  }

  private async takeNumber(): Promise<number | undefined> {
    const { target, fencing } = this.parts;
    const taken = await fencing.take();
    if (taken.isErr()) return undefined;
    this.taken = taken.value;
    if (!target.checksFencing && taken.value.isTakeover) {
      this.quietUntil = performance.now() + ORDER_LIMIT_MS;
      return undefined;
    }
    return taken.value.number;
  }

  private standDown(): void {
    this.taken = undefined;
    this.quietUntil = performance.now() + STAND_DOWN_MS;
  }
}
