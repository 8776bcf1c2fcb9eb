/** Models that an engine has loaded, and the orders that load and unload them. */
import { setTimeout as sleep } from 'node:timers/promises';
import * as z from 'zod';

/** Schema of the body of `POST /orders`. */
export const modelOrder = z.strictObject({
  /** Fencing number. */
  number: z.int().nonnegative(),
  model: z.string(),
  action: z.enum(['load', 'unload']),
});

/** An order to load or unload a model. */
export type ModelOrder = z.infer<typeof modelOrder>;

/** Body of the response to `GET /orders`. */
export interface OrderState {
  /** Highest fencing number received. */
  readonly number: number;
  readonly models: readonly string[];
}

/** Models that an engine has loaded. */
export class LoadedModels {
  private models: Set<string>;

  private number = 0;

  /**
   * @param initialModels - models loaded at start
   * @param checksFencing - whether orders with an old fencing number are refused
   * @param loadModelMs - time to load a model. Unit: ms
   */
  constructor(
    private readonly initialModels: readonly string[],
    private readonly checksFencing: boolean,
    private readonly loadModelMs: number,
  ) {
    this.models = new Set(initialModels);
  }

  state(): OrderState {
    return { number: this.number, models: [...this.models] };
  }

  isLoaded(model: string): boolean {
    return this.models.has(model);
  }

  /**
   * Applies an order, unless fencing numbers are checked and that of the order is old.
   *
   * @param order - the order
   * @returns whether the order was applied
   */
  async applyOrder(order: ModelOrder): Promise<boolean> {
    if (this.checksFencing && order.number < this.number) return false;
    this.number = Math.max(this.number, order.number);
    if (order.action === 'load') {
      await sleep(this.loadModelMs);
      this.models.add(order.model);
    } else {
      this.models.delete(order.model);
    }
    return true;
  }

  /** Restores the initial state, as a crash does. */
  reset(): void {
    this.models = new Set(this.initialModels);
    this.number = 0;
  }
}
