/** One pass over the waiting items of a host, in which they get the slots that the host may use. */
import type { WeightedService } from '../configuration/ServingConfiguration.js';
import { getIncarnation, type Target } from '../fleet/Target.js';
import type { Candidate } from '../routing/chooseTarget.js';
import { orderServices } from '../routing/orderServices.js';
import type { AllowedRegions } from '../routing/allowedRegions.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { Urgency } from './itemPlans.js';
import type { ItemOrigin } from './ItemResponse.js';

/** Properties of a waiting item that decide where it may run. */
export interface WaitingItem {
  /** Services of its route. */
  readonly services: readonly WeightedService[];
  readonly urgency: Urgency;
  /** Regions in which it may run; undefined if any will do. */
  readonly allowedRegions?: AllowedRegions | undefined;
  /** Which targets can continue its output; undefined if it has none. */
  readonly origin: ItemOrigin | undefined;
  /** Incarnations of targets that should not continue its output if others can. */
  readonly avoided: ReadonlySet<string>;
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

const NO_TARGETS: ReadonlySet<string> = new Set();

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
    const { services, origin, avoided, allowedRegions } = item;
    const order = orderServices(services, this.dependencies.random);
    if (!origin) return this.placeAtFirst(order, item, false);
    const mayContinue = order.includes(origin.service);
    const target = mayContinue
      ? (this.takeSlot(origin.service, item, origin.version, avoided) ??
        this.takeSlot(origin.service, item, origin.version))
      : undefined;
    if (target) return { target, isRestart: false };
    const { router } = this.dependencies;
    if (!mayContinue || !router.hasVersion(origin.service, origin.version, allowedRegions))
      return this.placeAtFirst(order, item, true);
    const others = item.isRestartDue ? order.filter((name) => name !== origin.service) : [];
    return this.placeAtFirst(others, item, true);
  }

  /**
   * Gives back the slot of an item that doesn't run after all.
   *
   * @param placement - placement of the item
   */
  release({ target: { id } }: Placement): void {
    const slots = this.usedSlots.get(id) ?? 0;
    if (slots > 1) this.usedSlots.set(id, slots - 1);
    else this.usedSlots.delete(id);
  }

  /** Places an item that runs from its beginning at the first service with a slot. */
  private placeAtFirst(
    services: readonly string[],
    item: WaitingItem,
    isRestart: boolean,
  ): Placement | undefined {
    for (const service of services) {
      const target = this.takeSlot(service, item, undefined);
      if (target) return { target, isRestart };
    }
    return undefined;
  }

  private takeSlot(
    service: string,
    { urgency, allowedRegions }: WaitingItem,
    version: string | undefined,
    avoided: ReadonlySet<string> = NO_TARGETS,
  ): Target | undefined {
    const kind = JSON.stringify([
      service,
      urgency,
      version,
      allowedRegions && [...allowedRegions],
      ...avoided,
    ]);
    if (this.exhausted.has(kind)) return undefined;
    const allowanceOf = this.dependencies.allowances[urgency];
    const target = this.dependencies.router.chooseForBatch(
      service,
      version,
      (candidate) =>
        avoided.has(getIncarnation(candidate.target))
          ? 0
          : allowanceOf(candidate) - (this.usedSlots.get(candidate.target.id) ?? 0),
      allowedRegions,
      urgency === 'urgent',
    );
    if (target) this.usedSlots.set(target.id, (this.usedSlots.get(target.id) ?? 0) + 1);
    else this.exhausted.add(kind);
    return target;
  }
}
