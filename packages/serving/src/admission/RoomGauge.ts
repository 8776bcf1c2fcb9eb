/** Measures how much room the targets of a service have for online requests. */
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import type { LoadTable } from '../routing/LoadTable.js';

/** Ratio of slots used by online requests from which room is short. */
const SHORT_ROOM_RATIO = 0.85;

/** Dependencies of {@link RoomGauge}. */
export interface RoomGaugeDependencies {
  readonly targets: Pick<TargetList, 'listReady'>;
  readonly loadTable: Pick<LoadTable, 'totalLoad'>;
}

/** Measures the room for online requests. Batch items take none, as they give way. */
export class RoomGauge {
  constructor(private readonly dependencies: RoomGaugeDependencies) {}

  /**
   * Checks whether a target has a slot that no online request uses.
   *
   * @param target - the target
   * @returns whether an online request would get a slot
   */
  hasSlot(target: Target): boolean {
    return this.dependencies.loadTable.totalLoad(target.id).online < target.slots;
  }

  /**
   * Checks whether online requests use most slots of a service.
   *
   * @param service - name of the service
   * @returns whether room is short
   */
  isShort(service: string): boolean {
    const { targets, loadTable } = this.dependencies;
    const ready = targets.listReady(service);
    const slots = ready.reduce((sum, target) => sum + target.slots, 0);
    const used = ready.reduce(
      (sum, target) => sum + Math.min(target.slots, loadTable.totalLoad(target.id).online),
      0,
    );
    return used >= slots * SHORT_ROOM_RATIO;
  }
}
