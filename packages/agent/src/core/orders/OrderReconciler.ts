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
import type { FencingNumber, AcquiredNumber } from './FencingNumber.js';
import { planOrders, type PlannedOrder } from './planOrders.js';
import { ORDER_TIMEOUT_MS, type OrderOutcome } from './sendOrder.js';

/** What the reconciler works with. */
export interface OrderReconcilerDependencies {
  readonly target: AgentSettings['target'];
  readonly monitor: TargetMonitor;
  readonly fencing: FencingNumber;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Gives the wanted models; nothing while no configuration is in force. */
  readonly listDesired: () => readonly string[] | undefined;
  readonly send: (
    number: number,
    order: PlannedOrder,
    signal: AbortSignal,
  ) => Promise<OrderOutcome>;
}

/** Time between comparisons. Unit: ms. */
const RECONCILE_INTERVAL_MS = 5000;

/** Time for which a process that was superseded leaves the orders to the other. Unit: ms. */
const SUPERSEDED_PAUSE_MS = 60_000;

/** Makes the target serve the models that the tree wants. */
export class OrderReconciler {
  private acquired: AcquiredNumber | undefined;

  private pausedUntil = 0;

  private readonly stopping = new AbortController();

  private wakeController = new AbortController();

  private task: Promise<void> = Promise.resolve();

  constructor(private readonly dependencies: OrderReconcilerDependencies) {}

  start(): void {
    this.task = this.reconcilePeriodically();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    this.wake();
    await this.task;
  }

  /** Compares now; call it when the tree or the target has changed. */
  wake(): void {
    this.wakeController.abort();
  }

  private async reconcilePeriodically(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      this.wakeController = new AbortController();
      if (await this.reconcile()) continue;
      await sleep(RECONCILE_INTERVAL_MS, undefined, { signal: this.wakeController.signal }).catch(
        () => undefined,
      );
    }
  }

  /**
   * Sends the next order that is due.
   *
   * @returns whether it took effect, so that the next may be sent at once
   */
  private async reconcile(): Promise<boolean> {
    const { monitor, listDesired: wanted } = this.dependencies;
    const models = wanted();
    if (!monitor.isUp || models === undefined || performance.now() < this.pausedUntil) return false;
    const [order] = planOrders(monitor.models, models);
    if (!order) return false;
    const number = await this.getHighestNumber();
    if (number === undefined || this.stopping.signal.aborted) return false;
    await this.send(number, order);
    return !planOrders(monitor.models, models).some(
      ({ model, action }) => model === order.model && action === order.action,
    );
  }

  private async send(number: number, order: PlannedOrder): Promise<void> {
    const { target, monitor, journal, metrics, send } = this.dependencies;
    const outcome = await send(number, order, this.stopping.signal);
    metrics.count('orders.sent', { outcome });
    const event = outcome === 'followed' ? 'order-sent' : 'order-refused';
    journal.record(event, { target: target.name, number, ...order, outcome });
    if (outcome === 'old-number') this.pauseSuperseded();
    // The state that the target reports counts, whatever the answer was.
    await monitor.checkNow();
  }

  /** Gives a number that is the highest at this moment, as far as can be known. */
  private async getHighestNumber(): Promise<number | undefined> {
    const { target, fencing } = this.dependencies;
    if (!this.acquired) return this.acquireNumber();
    if (target.checksFencing) return this.acquired.number;
    const isHighest = await fencing.isHighest(this.acquired.number);
    if (isHighest.isErr()) return undefined;
    if (!isHighest.value) this.pauseSuperseded();
    return this.acquired?.number;
  }

  private async acquireNumber(): Promise<number | undefined> {
    const { target, fencing } = this.dependencies;
    const taken = await fencing.acquire();
    if (taken.isErr()) return undefined;
    this.acquired = taken.value;
    if (!target.checksFencing && taken.value.isTakeover) {
      this.pausedUntil = performance.now() + ORDER_TIMEOUT_MS;
      return undefined;
    }
    return taken.value.number;
  }

  private pauseSuperseded(): void {
    this.acquired = undefined;
    this.pausedUntil = performance.now() + SUPERSEDED_PAUSE_MS;
  }
}
