/** Decides how urgent the waiting items of one scheduling pass are, from the pulses and the backlog of all hosts. */
import type { WeightedService } from '../configuration/ServingConfiguration.js';
import type { AllowedRegions } from '../routing/allowedRegions.js';
import type { Candidate } from '../routing/chooseTarget.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { Pulses } from './findPulses.js';
import { countLastingSlots, estimateBacklogMs, judgeUrgency, type Urgency } from './itemPlans.js';
import { estimateRemainingMs, type Pace, type SchedulableItem } from './orderItems.js';

/** Dependencies of {@link StartPlan}. */
export interface StartPlanDependencies {
  /** Finds the pulses of a service, if any were observed; undefined if items aren't planned. */
  readonly findPulses: ((service: string) => Pulses | undefined) | undefined;
  readonly router: Pick<TargetRouter, 'listSteady'>;
  readonly loadTable: Pick<LoadTable, 'totalLoad' | 'reportedWaitingItems'>;
  readonly pace: Pace;
  /** Items of this host that wait for a slot. */
  readonly waiting: readonly SchedulableItem[];
  /** Monotonic time. Unit: ms. */
  readonly now: number;
}

/** Where an item may run. */
export interface ItemRoute {
  readonly services: readonly WeightedService[];
  /** Regions in which it may run; undefined if any will do. */
  readonly allowedRegions: AllowedRegions | undefined;
}

export class StartPlan {
  private readonly backlogs = new Map<string, number>();

  constructor(private readonly dependencies: StartPlanDependencies) {}

  /**
   * Decides how urgent an item is.
   *
   * @param item - the item
   * @param route - where it may run
   * @returns the urgency
   */
  judge(item: SchedulableItem, route: ItemRoute): Urgency {
    const { findPulses, pace, now } = this.dependencies;
    const forecasts = findPulses
      ? route.services.map(({ service }) => ({ service, pulses: findPulses(service) }))
      : [];
    // A service without pulses has room at any time.
    const [first] = forecasts.every(({ pulses }) => pulses) ? forecasts : [];
    const backlogMs = first?.pulses
      ? this.getBacklogMs(first.service, route.allowedRegions, first.pulses)
      : 0;
    return judgeUrgency({ item, pace, pulses: first?.pulses, backlogMs }, now);
  }

  /**
   * Counts the slots of a target that patient items may still use.
   *
   * @param candidate - the target and its load
   * @returns number of slots; infinite if its service has no pulses
   */
  countLastingSlots({ target, load }: Pick<Candidate, 'target' | 'load'>): number {
    const pulses = this.dependencies.findPulses?.(target.service);
    return pulses ? countLastingSlots(target.slots, pulses) - load.batch : Number.POSITIVE_INFINITY;
  }

  /**
   * Checks whether a relaxed item could start, so that a patient one leaves slots free.
   *
   * @param route - where the item may run
   * @returns whether a target has more free slots than the one that is kept for online requests
   */
  hasFreeSlot({ services, allowedRegions }: ItemRoute): boolean {
    const { router, loadTable } = this.dependencies;
    return services.some(({ service }) =>
      router.listSteady(service, allowedRegions).some(({ id, slots }) => {
        const { online, batch } = loadTable.totalLoad(id);
        return online + batch + 1 < slots;
      }),
    );
  }

  private getBacklogMs(
    service: string,
    allowedRegions: AllowedRegions | undefined,
    pulses: Pulses,
  ): number {
    const key = JSON.stringify([service, allowedRegions && [...allowedRegions]]);
    const known = this.backlogs.get(key);
    if (known !== undefined) return known;
    const { router, loadTable, waiting, pace } = this.dependencies;
    const steady = router.listSteady(service, allowedRegions);
    const runMs =
      waiting.reduce((sum, item) => sum + estimateRemainingMs(item, pace), 0) / waiting.length;
    const backlogMs = estimateBacklogMs(
      {
        waiting: waiting.length + loadTable.reportedWaitingItems,
        running: steady.reduce((sum, { id }) => sum + loadTable.totalLoad(id).batch, 0),
        runMs,
        slots: steady.map(({ slots }) => slots),
      },
      pulses,
    );
    this.backlogs.set(key, backlogMs);
    return backlogMs;
  }
}
