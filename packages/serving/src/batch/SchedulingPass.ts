/** One pass over the waiting items of a host, in which they get the slots that the host may use. */
import type { WeightedService } from '../configuration/ServingConfiguration.js';
import type { Target } from '../fleet/Target.js';
import type { Candidate } from '../routing/chooseTarget.js';
import { orderServices } from '../routing/orderServices.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { ItemOrigin } from './ItemResponse.js';

/** Urgency of an item: urgent ones may use slots that are reserved for online requests. */
export type Urgency = 'relaxed' | 'urgent';

/** Properties of a waiting item that decide where it may run. */
export interface WaitingItem {
  /** Services of its route. */
  readonly services: readonly WeightedService[];
  readonly urgency: Urgency;
  /** Which targets can continue its output; undefined if it has none. */
  readonly origin: ItemOrigin | undefined;
  /** Whether it has waited for these targets for so long that another service may run it from its beginning. */
  readonly isRestartDue: boolean;
}

/** A target for a waiting item. */
export interface Placement {
  readonly target: Target;
  /** Whether the target can't continue the item's output, so that the item starts again. */
  readonly isRestart: boolean;
}

/** Dependencies of {@link SchedulingPass}. */
export interface SchedulingPassDependencies {
  readonly router: Pick<TargetRouter, 'chooseForBatch' | 'hasVersion'>;
  /** Return the number of slots of a target that this host may use, before the ones it has used in this pass. */
  readonly allowances: Readonly<Record<Urgency, (candidate: Candidate) => number>>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

export class SchedulingPass {
  private readonly usedSlots = new Map<string, number>();

  /** Services, urgencies and versions without a further slot for this host. */
  private readonly exhausted = new Set<string>();

  constructor(private readonly dependencies: SchedulingPassDependencies) {}

  /**
   * Lists the targets of the placed items.
   *
   * @returns ids of targets
   */
  get usedTargets(): string[] {
    return [...this.usedSlots.keys()];
  }

  /**
   * Places an item on a slot. Its output is continued if that is possible, as it would otherwise be lost.
   *
   * @param item - the item
   * @returns its target; undefined while this host may use no slot for it
   */
  place(item: WaitingItem): Placement | undefined {
    const { services, urgency, origin } = item;
    const order = orderServices(services, this.dependencies.random);
    if (!origin) return this.placeAtFirst(order, urgency, false);
    const mayContinue = order.includes(origin.service);
    const target = mayContinue ? this.takeSlot(origin.service, urgency, origin.version) : undefined;
    if (target) return { target, isRestart: false };
    if (!mayContinue || !this.dependencies.router.hasVersion(origin.service, origin.version))
      return this.placeAtFirst(order, urgency, true);
    const others = item.isRestartDue ? order.filter((name) => name !== origin.service) : [];
    return this.placeAtFirst(others, urgency, true);
  }

  /** Places an item that runs from its beginning at the first service with a slot. */
  private placeAtFirst(
    services: readonly string[],
    urgency: Urgency,
    isRestart: boolean,
  ): Placement | undefined {
    for (const service of services) {
      const target = this.takeSlot(service, urgency, undefined);
      if (target) return { target, isRestart };
    }
    return undefined;
  }

  private takeSlot(
    service: string,
    urgency: Urgency,
    version: string | undefined,
  ): Target | undefined {
    const kind = JSON.stringify([service, urgency, version]);
    if (this.exhausted.has(kind)) return undefined;
    const allowanceOf = this.dependencies.allowances[urgency];
    const target = this.dependencies.router.chooseForBatch(
      service,
      version,
      (candidate) => allowanceOf(candidate) - (this.usedSlots.get(candidate.target.id) ?? 0),
      urgency === 'urgent',
    );
    if (target) this.usedSlots.set(target.id, (this.usedSlots.get(target.id) ?? 0) + 1);
    else this.exhausted.add(kind);
    return target;
  }
}
