/**
 * Makes the target serve the models that the tree declares: compares them, sends one order, and
 * compares again.
 *
 * For a target that ignores fencing numbers, the agent checks before each order that it still holds
 * the highest number, and after a takeover waits until no order of the previous holder can be in
 * transit. If an order is late nevertheless, the next comparison corrects its effect.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { TargetMonitor } from '../target/TargetMonitor.js';
import type { FencingNumber, AcquiredNumber } from './FencingNumber.js';
import { planOrders, type PlannedOrder } from './planOrders.js';
import { ORDER_TIMEOUT_MS, type OrderOutcome } from './sendOrder.js';

/** Dependencies of {@link OrderReconciler}. */
export interface OrderReconcilerDependencies {
  readonly target: AgentSettings['target'];
  readonly monitor: TargetMonitor;
  readonly fencing: FencingNumber;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Returns the models that the tree declares; undefined while no configuration is in force. */
  readonly listDesired: () => readonly string[] | undefined;
  readonly send: (
    number: number,
    order: PlannedOrder,
    signal: AbortSignal,
  ) => Promise<OrderOutcome>;
}

/** Interval between comparisons. Unit: ms. */
const RECONCILE_INTERVAL_MS = 5000;

/** Time during which a superseded process sends no orders. Unit: ms. */
const SUPERSEDED_PAUSE_MS = 60_000;

/** Makes the target serve the models that the tree declares. */
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

  /** Compares immediately; to be called when the tree or the target has changed. */
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
   * @returns whether it took effect, so that the next order can be sent immediately
   */
  private async reconcile(): Promise<boolean> {
    const { monitor, listDesired } = this.dependencies;
    const models = listDesired();
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
    // The state that the target reports decides, whatever the response was.
    await monitor.checkNow();
  }

  /** Returns a number that is the highest as far as this process can know. */
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
    const acquired = await fencing.acquire();
    if (acquired.isErr()) return undefined;
    this.acquired = acquired.value;
    if (!target.checksFencing && acquired.value.isTakeover) {
      this.pausedUntil = performance.now() + ORDER_TIMEOUT_MS;
      return undefined;
    }
    return acquired.value.number;
  }

  private pauseSuperseded(): void {
    this.acquired = undefined;
    this.pausedUntil = performance.now() + SUPERSEDED_PAUSE_MS;
  }
}
