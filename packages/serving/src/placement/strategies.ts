/** Ways to choose the target of a request. */
import * as z from 'zod';

/** Schema of the names of strategies. */
export const placement = z.enum(['count', 'cost', 'pace', 'work', 'auto']);

/** Name of a strategy. */
export type Placement = z.infer<typeof placement>;

/** What a strategy takes into account. */
export interface PlacementStrategy {
  /** Whether targets are compared by the predicted time to the first event, not by numbers of requests. */
  readonly predictsTimes: boolean;
  /** Whether they are so only for services whose targets or requests have been seen to differ. */
  readonly isAdaptive: boolean;
  /** Whether the pace of each target is learned. */
  readonly usesPace: boolean;
  /** Whether the cost of each request is learned, and with it what each target still has to do. */
  readonly usesCost: boolean;
}

/** The strategies by name. */
export const placementStrategies: Readonly<Record<Placement, PlacementStrategy>> = {
  count: { predictsTimes: false, isAdaptive: false, usesPace: false, usesCost: false },
  cost: { predictsTimes: true, isAdaptive: false, usesPace: false, usesCost: true },
  pace: { predictsTimes: true, isAdaptive: false, usesPace: true, usesCost: false },
  work: { predictsTimes: true, isAdaptive: false, usesPace: true, usesCost: true },
  auto: { predictsTimes: true, isAdaptive: true, usesPace: true, usesCost: true },
};
