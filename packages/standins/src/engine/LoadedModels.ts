/** Models of the engine and the orders that change them. */
import { setTimeout as sleep } from 'node:timers/promises';
import * as z from 'zod';

/** Schema of `POST /orders`. */
export const modelOrder = z.strictObject({
  /** Fencing number. */
  number: z.int().nonnegative(),
  model: z.string(),
  action: z.enum(['load', 'unload']),
});

/** An order. */
export type ModelOrder = z.infer<typeof modelOrder>;

/** State that `GET /orders` answers. */
export interface OrderState {
  /** Highest fencing number seen. */
  readonly number: number;
  readonly models: readonly string[];
}

/** Models of the engine. */
export class LoadedModels {
  private models: Set<string>;

  private number = 0;

  /**
   * @param initialModels - models loaded after a start
   * @param checksFencing - whether older numbers are refused
   * @param loadModelMs - time that loading takes. Unit: ms
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
   * Follows an order.
   *
   * @param order - the order
   * @returns whether it was followed; not when its number is old and numbers are checked
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

  /** Returns to the state after a start, as a crash does. */
  reset(): void {
    this.models = new Set(this.initialModels);
    this.number = 0;
  }
}
