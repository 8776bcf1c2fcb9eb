/** What this host knows of the targets of a service, put together for choices. */
import type { DrainingTargets } from '../fleet/DrainingTargets.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import {
  chooseBatchTarget,
  chooseTarget,
  findHoldersToNotify,
  countItemsToCancel,
  type Candidate,
  type TargetChoice,
  type TargetOccupancy,
} from './chooseTarget.js';
import type { LoadTable } from './LoadTable.js';
import type { TargetHealth } from './TargetHealth.js';

/** What the router needs. */
export interface TargetRouterDependencies {
  readonly identity: HostIdentity;
  readonly targets: TargetList;
  readonly drainingTargets: DrainingTargets;
  readonly loads: LoadTable;
  readonly health: TargetHealth;
}

/** Chooses targets. */
export class TargetRouter {
  constructor(private readonly dependencies: TargetRouterDependencies) {}

  /**
   * Chooses the target of an online request.
   *
   * @param service - name of the service
   * @param excluded - identities of targets that failed the request before
   * @returns the target, or why there is none
   */
  chooseForOnline(service: string, excluded: ReadonlySet<string>): TargetChoice {
    const { failureDomain } = this.dependencies.identity;
    const candidates = this.listCandidates(service);
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
    const { failureDomain } = this.dependencies.identity;
    const candidates = this.listCandidates(service);
    return chooseBatchTarget({ candidates, failureDomain, allowanceOf, random: Math.random });
  }

  /**
   * Lists the other hosts whose batch items keep online requests on a target waiting.
   *
   * @param target - the target
   * @returns names of hosts
   */
  findHoldersToNotify(target: Target): string[] {
    return findHoldersToNotify(this.describeOccupancy(target));
  }

  /**
   * Tells how many of this host's batch items must leave a target.
   *
   * @param target - the target
   * @returns number of items
   */
  countItemsToCancel(target: Target): number {
    return countItemsToCancel(this.describeOccupancy(target));
  }

  private describeOccupancy(target: Target): TargetOccupancy {
    const { loads, identity } = this.dependencies;
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
    return this.listCandidates(service).some(
      ({ target, usable }) => usable && !excluded.has(target.id),
    );
  }

  private listCandidates(service: string): Candidate[] {
    const { targets, drainingTargets: departures, loads, health } = this.dependencies;
    const ready = targets.listReady(service).filter((target) => !departures.includes(target));
    const unreliable = health.findUnreliable(ready.map(({ id }) => id));
    return ready.map((target) => ({
      target,
      load: loads.totalLoad(target.id),
      usable: health.isUsable(target.id) && !unreliable.has(target.id),
      silentFor: loads.countUnresponsiveReports(target.id),
    }));
  }
}
