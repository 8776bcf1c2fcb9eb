/** Decides how urgent the waiting items of one scheduling pass are, from the pulses and the backlog of all hosts. */
import type { WeightedService } from '../configuration/ServingConfiguration.js';
import type { TargetList } from '../fleet/TargetList.js';
import type { Candidate } from '../routing/chooseTarget.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { Pulses } from './findPulses.js';
import { countLastingSlots, estimateBacklogMs, judgeUrgency, type Urgency } from './itemPlans.js';
import { estimateRemainingMs, type Pace, type SchedulableItem } from './orderItems.js';

/** Dependencies of {@link StartPlan}. */
export interface StartPlanDependencies {
  /** Finds the pulses of a service; undefined if none were observed, or items aren't planned. */
  readonly findPulses: (service: string) => Pulses | undefined;
  readonly targets: Pick<TargetList, 'listReady'>;
  readonly loadTable: Pick<LoadTable, 'totalLoad' | 'reportedWaitingItems'>;
  readonly pace: Pace;
  /** Items of this host that wait for a slot. */
  readonly waiting: readonly SchedulableItem[];
  /** Monotonic time. Unit: ms. */
  readonly now: number;
}

export class StartPlan {
  private readonly backlogs = new Map<string, number>();

  constructor(private readonly dependencies: StartPlanDependencies) {}

  /**
   * Decides how urgent an item is.
   *
   * @param item - the item
   * @param services - services of its route
   * @returns the urgency
   */
  judge(item: SchedulableItem, services: readonly WeightedService[]): Urgency {
    const { findPulses, pace, now } = this.dependencies;
    const forecasts = services.map(({ service }) => ({ service, pulses: findPulses(service) }));
    // A service without pulses has room at any time.
    const [first] = forecasts.some(({ pulses }) => !pulses) ? [] : forecasts;
    const backlogMs = first?.pulses ? this.getBacklogMs(first.service, first.pulses) : 0;
    return judgeUrgency({ item, pace, pulses: first?.pulses, backlogMs }, now);
  }

  /**
   * Counts the slots of a target that patient items may still use.
   *
   * @param candidate - the target and its load
   * @returns number of slots; infinite if its service has no pulses
   */
  countLastingSlots({ target, load }: Pick<Candidate, 'target' | 'load'>): number {
    const pulses = this.dependencies.findPulses(target.service);
    return pulses ? countLastingSlots(target.slots, pulses) - load.batch : Number.POSITIVE_INFINITY;
  }

  private getBacklogMs(service: string, pulses: Pulses): number {
    const known = this.backlogs.get(service);
    if (known !== undefined) return known;
    const { targets, loadTable, waiting, pace } = this.dependencies;
    const ready = targets.listReady(service);
    const runMs =
      waiting.reduce((sum, item) => sum + estimateRemainingMs(item, pace), 0) / waiting.length;
    const backlogMs = estimateBacklogMs(
      {
        waiting: waiting.length + loadTable.reportedWaitingItems,
        running: ready.reduce((sum, { id }) => sum + loadTable.totalLoad(id).batch, 0),
        runMs,
        slots: ready.map(({ slots }) => slots),
      },
      pulses,
    );
    this.backlogs.set(service, backlogMs);
    return backlogMs;
  }
}
