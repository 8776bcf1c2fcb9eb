/** What this host knows of the targets of a service, put together for choices. */
import type { Departures } from '../fleet/Departures.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import {
  chooseBatchTarget,
  chooseTarget,
  findHoldersToTell,
  shareOfExcess,
  type Candidate,
  type Chosen,
  type Excess,
} from './chooseTarget.js';
import type { LoadBook } from './LoadBook.js';
import type { TargetHealth } from './TargetHealth.js';

/** What the router needs. */
export interface TargetRouterNeeds {
  readonly identity: HostIdentity;
  readonly targets: TargetList;
  readonly departures: Departures;
  readonly loads: LoadBook;
  readonly health: TargetHealth;
}

/** Chooses targets. */
export class TargetRouter {
  constructor(private readonly needs: TargetRouterNeeds) {}

  /**
   * Chooses the target of an online request.
   *
   * @param service - name of the service
   * @param excluded - identities of targets that failed the request before
   * @returns the target, or why there is none
   */
  choose(service: string, excluded: ReadonlySet<string>): Chosen {
    const { failureDomain } = this.needs.identity;
    const candidates = this.candidatesOf(service);
    return chooseTarget({ candidates, failureDomain, excluded, random: Math.random });
  }

  /**
   * Chooses the target of a batch item.
   *
   * @param service - name of the service
   * @param allowanceOf - slots of a target that this host may take now
   * @returns the target, or nothing when no slot is to spare
   */
  chooseForBatch(
    service: string,
    allowanceOf: (candidate: Candidate) => number,
  ): Target | undefined {
    const { failureDomain } = this.needs.identity;
    const candidates = this.candidatesOf(service);
    return chooseBatchTarget({ candidates, failureDomain, allowanceOf, random: Math.random });
  }

  /**
   * Lists the other hosts whose batch items keep online requests on a target waiting.
   *
   * @param target - the target
   * @returns names of hosts
   */
  holdersToTell(target: Target): string[] {
    return findHoldersToTell(this.describeExcess(target));
  }

  /**
   * Tells how many of this host's batch items must leave a target.
   *
   * @param target - the target
   * @returns number of items
   */
  excessOn(target: Target): number {
    return shareOfExcess(this.describeExcess(target));
  }

  private describeExcess(target: Target): Excess {
    const { loads, identity } = this.needs;
    const load = loads.totalLoad(target.id);
    // Asked at each change of loads, while most targets have free slots or no batch items.
    const isCrowded = load.batch > 0 && load.online + load.batch > target.slots;
    return {
      slots: target.slots,
      load,
      holders: isCrowded ? loads.batchHolders(target.id, identity.name) : [],
      ownName: identity.name,
    };
  }

  /**
   * Tells whether another usable target of the service exists.
   *
   * @param service - name of the service
   * @param excluded - identities that do not count
   * @returns whether a request could go elsewhere
   */
  hasAlternative(service: string, excluded: ReadonlySet<string>): boolean {
    return this.candidatesOf(service).some(
      ({ target, usable }) => usable && !excluded.has(target.id),
    );
  }

  private candidatesOf(service: string): Candidate[] {
    const { targets, departures, loads, health } = this.needs;
    const ready = targets.readyOf(service).filter((target) => !departures.includes(target));
    const unreliable = health.unreliable(ready.map(({ id }) => id));
    return ready.map((target) => ({
      target,
      load: loads.totalLoad(target.id),
      usable: health.isUsable(target.id) && !unreliable.has(target.id),
      silentFor: loads.silentFor(target.id),
    }));
  }
}
