/** Chooses targets from the load, health and registration data of this host. */
import type { WeightedService } from '../configuration/ServingConfiguration.js';
import type { ColdTargets } from '../fleet/ColdTargets.js';
import type { DrainingTargets } from '../fleet/DrainingTargets.js';
import type { Evacuations } from '../fleet/Evacuations.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import { explainChoice, type LeftOut, type TargetExplanation } from '../placement/explainChoice.js';
import type { RequestSize } from '../placement/RequestSize.js';
import type { TargetOutlook } from '../placement/TargetOutlook.js';
import {
  chooseBatchTarget,
  chooseTarget,
  findHoldersToNotify,
  findObstacle,
  countItemsToCancel,
  hasUsableTarget,
  looksHealthy,
  type BatchCriteria,
  type Candidate,
  type OnlineCriteria,
  type TargetChoice,
  type TargetOccupancy,
} from './chooseTarget.js';
import { isAllowed, type AllowedRegions, type RegionsByDomain } from './allowedRegions.js';
import type { LoadTable, WorkClass } from './LoadTable.js';
import { orderServices } from './orderServices.js';
import type { TargetHealth } from './TargetHealth.js';

/** Dependencies of {@link TargetRouter}. */
export interface TargetRouterDependencies {
  readonly identity: HostIdentity;
  readonly targets: TargetList;
  readonly drainingTargets: DrainingTargets;
  readonly evacuations: Pick<Evacuations, 'includes'>;
  readonly coldTargets: Pick<
    ColdTargets,
    'isCold' | 'mayReceive' | 'recordSend' | 'recordDeferral'
  >;
  /** Regions of the failure domains. */
  readonly regions: RegionsByDomain;
  readonly loadTable: LoadTable;
  readonly health: TargetHealth;
  /** Predicts times at targets; undefined if they are compared by numbers of requests. */
  readonly outlook?: TargetOutlook | undefined;
}

/** A target to which a request may return. */
export interface ReturnTarget {
  readonly target: Target;
  /** Whether it has responded since the request has left it. */
  readonly responsive: boolean;
}

/** An online request that needs a target. */
export interface RoutedRequest {
  /** Name of the service. */
  readonly service: string;
  /** Identities of targets on which the request has failed already. */
  readonly excluded?: ReadonlySet<string>;
  /** Version that began the stream which the request continues; undefined if any will do. */
  readonly version?: string | undefined;
  /** Undefined if its caller states none. */
  readonly size?: RequestSize | undefined;
  /** Regions in which the request may run; undefined if any will do. */
  readonly allowed?: AllowedRegions | undefined;
}

/** Properties of a request or item whose placement is explained. */
export interface ExplanationCriteria {
  readonly service: string;
  readonly work: WorkClass;
  /** Undefined if its caller states none. */
  readonly size?: RequestSize | undefined;
  /** Version that the target must have; undefined if any will do. */
  readonly version?: string | undefined;
  /** Regions in which it may run; undefined if any will do. */
  readonly allowed?: AllowedRegions | undefined;
  /** Returns the number of slots of a target that this host may use for items now; all free ones if absent. */
  readonly allowanceOf?: (candidate: Candidate) => number;
}

/** Explanation of a choice. */
export interface ChoiceExplanation {
  readonly targets: TargetExplanation[];
  readonly result: TargetChoice['kind'];
  /** Wait until a target has room, if it is predicted. Unit: ms. */
  readonly expectedWaitMs: number | undefined;
}

const NO_TARGETS: ReadonlySet<string> = new Set();

const countFreeSlots = ({ target, load }: Candidate): number =>
  Math.max(0, target.slots - load.online - load.batch);

/** Chooses the targets of online requests and batch items. */
export class TargetRouter {
  constructor(private readonly dependencies: TargetRouterDependencies) {}

  /**
   * Chooses the service of an online request: the one that is drawn by weight, unless only another one has a target that
   * can run the request.
   *
   * @param services - services of the request's route
   * @param version - version that began the stream which the request continues; undefined if any will do
   * @param allowed - regions in which the request may run; undefined if any will do
   * @returns name of the service
   */
  chooseService(
    services: readonly WeightedService[],
    version: string | undefined,
    allowed?: AllowedRegions,
  ): string {
    const order = orderServices(services, Math.random);
    const [preferred = ''] = order;
    if (order.length === 1) return preferred;
    return (
      order.find((service) => this.hasAlternative(service, NO_TARGETS, version, allowed)) ??
      order.find((service) => this.listCandidates(service, version, allowed).length > 0) ??
      preferred
    );
  }

  /**
   * Chooses the target of an online request.
   *
   * @param request - the request
   * @returns the target, or why there is none
   */
  chooseForOnline(request: RoutedRequest): TargetChoice {
    const { service, excluded = NO_TARGETS, version, size, allowed } = request;
    const candidates = this.listCandidates(service, version, allowed, size);
    const choice = this.drawForOnline(candidates, excluded, version !== undefined);
    if (candidates.some(({ forecast }) => forecast))
      this.dependencies.outlook?.recordChoice(choice);
    if (choice.kind !== 'none') return choice;
    if (this.isOnlyForbidden(service, version, allowed)) return { ...choice, kind: 'forbidden' };
    if (!this.hasDeferredTarget(service, excluded, version, allowed)) return choice;
    this.dependencies.coldTargets.recordDeferral();
    return { ...choice, kind: 'full', expectedWaitMs: undefined };
  }

  /**
   * Chooses the target of a batch item.
   *
   * @param service - name of the service
   * @param version - version that the target must have; undefined if any will do
   * @param allowanceOf - returns the number of slots of a target that this host may use now
   * @param allowed - regions in which the item may run; undefined if any will do
   * @param isUrgent - whether the item has little time left
   * @returns the target; undefined when this host may use no slot
   */
  chooseForBatch(
    service: string,
    version: string | undefined,
    allowanceOf: (candidate: Candidate) => number,
    allowed?: AllowedRegions,
    isUrgent = false,
  ): Target | undefined {
    const candidates = this.listCandidates(service, version, allowed);
    return this.drawForBatch(candidates, { allowanceOf, isUrgent });
  }

  /**
   * Counts a request or item that is sent to a target. Called before anything else is sent.
   *
   * @param target - the chosen target
   */
  recordSend(target: Target): void {
    this.dependencies.coldTargets.recordSend(target);
  }

  /**
   * Explains where a request or batch item of a service would go now, and why not elsewhere. Nothing is recorded.
   *
   * @param criteria - properties of the request or item
   * @returns all targets of the service, the most likely one first, and the result of the choice
   */
  explain({
    service,
    work,
    size,
    version,
    allowed,
    allowanceOf = countFreeSlots,
  }: ExplanationCriteria): ChoiceExplanation {
    const { targets, coldTargets } = this.dependencies;
    const isContinuation = version !== undefined;
    const candidates = this.listCandidates(service, version, allowed, size);
    const ids = new Set(candidates.map(({ target }) => target.id));
    const others = targets
      .list()
      .filter((target) => target.service === service && !ids.has(target.id));
    const drawOnline = (): TargetChoice =>
      this.drawForOnline(candidates, NO_TARGETS, isContinuation);
    const choosers: Readonly<Record<WorkClass, () => Target | undefined>> = {
      online: () => {
        const choice = drawOnline();
        return choice.kind === 'target' ? choice.target : undefined;
      },
      batch: () => this.drawForBatch(candidates, { allowanceOf }),
    };
    const obstacles: Readonly<Record<WorkClass, (candidate: Candidate) => LeftOut | undefined>> = {
      online: (candidate) => findObstacle(candidate, isContinuation),
      batch: (candidate) => {
        if (!looksHealthy(candidate)) return 'unhealthy';
        if (allowanceOf(candidate) > 0) return undefined;
        return countFreeSlots(candidate) > 0 ? 'slots-not-assigned' : 'full';
      },
    };
    const findLeftOut = (candidate: Candidate): LeftOut => {
      if (!ids.has(candidate.target.id))
        return this.findExclusion(candidate.target, version, allowed);
      const obstacle = obstacles[work](candidate);
      if (obstacle) return obstacle;
      return coldTargets.isCold(candidate.target) ? 'cold' : 'others-preferred';
    };
    const explained = explainChoice(
      [...candidates, ...this.describe(others, size)],
      choosers[work],
      findLeftOut,
    );
    const isChosen = explained.some(({ share }) => share > 0);
    const choice = work === 'online' && !isChosen ? drawOnline() : undefined;
    return {
      targets: explained,
      result: isChosen ? 'target' : this.explainNone(candidates, service, version, allowed),
      expectedWaitMs: choice?.kind === 'full' ? choice.expectedWaitMs : undefined,
    };
  }

  private explainNone(
    candidates: readonly Candidate[],
    service: string,
    version: string | undefined,
    allowed: AllowedRegions | undefined,
  ): TargetChoice['kind'] {
    if (candidates.length > 0) return 'full';
    if (this.isOnlyForbidden(service, version, allowed)) return 'forbidden';
    return this.hasDeferredTarget(service, NO_TARGETS, version, allowed) ? 'full' : 'none';
  }

  /** Finds why a target is not among those of {@link listCandidates}; in the order of their checks. */
  private findExclusion(
    target: Target,
    version: string | undefined,
    allowed: AllowedRegions | undefined,
  ): LeftOut {
    const { drainingTargets, evacuations, regions } = this.dependencies;
    if (target.state !== 'ready' || drainingTargets.includes(target)) return 'draining';
    if (evacuations.includes(target)) return 'evacuated';
    if (!isAllowed(target.failureDomain, allowed, regions)) return 'region-not-allowed';
    return version !== undefined && target.version !== version
      ? 'other-version'
      : 'cold-limit-reached';
  }

  /**
   * Finds the other hosts whose batch items keep online requests waiting on a target.
   *
   * @param target - the target
   * @returns names of hosts
   */
  findHoldersToNotify(target: Target): string[] {
    return findHoldersToNotify(this.describeOccupancy(target));
  }

  /**
   * Counts the batch items that this host must cancel on a target.
   *
   * @param target - the target
   * @returns number of items
   */
  countItemsToCancel(target: Target): number {
    return countItemsToCancel(this.describeOccupancy(target));
  }

  private describeOccupancy(target: Target): TargetOccupancy {
    const { loadTable, identity } = this.dependencies;
    const load = loadTable.totalLoad(target.id);
    // Called at each load change, when most targets have free slots or no batch items. Holders are listed only if needed.
    const isOverloaded = load.batch > 0 && load.online + load.batch > target.slots;
    return {
      slots: target.slots,
      load,
      holders: isOverloaded ? loadTable.batchHolders(target.id, identity.name) : [],
      ownName: identity.name,
    };
  }

  /**
   * Checks whether the service has another usable target that is not full.
   *
   * @param service - name of the service
   * @param excluded - identities of targets to ignore
   * @param version - version that the target must have; undefined if any will do
   * @param allowed - regions in which the request may run; undefined if any will do
   * @returns whether a request could run on another target
   */
  hasAlternative(
    service: string,
    excluded: ReadonlySet<string>,
    version: string | undefined,
    allowed?: AllowedRegions,
  ): boolean {
    return hasUsableTarget({
      candidates: this.listCandidates(service, version, allowed),
      excluded,
      isContinuation: version !== undefined,
    });
  }

  /**
   * Finds the target to which a request returns after it has left it, whatever the target's load and health. Targets that
   * have responded to other requests since are preferred.
   *
   * @param service - name of the service
   * @param left - identities of the targets that the request has left
   * @param version - version that the target must have; undefined if any will do
   * @param allowed - regions in which the request may run; undefined if any will do
   * @returns the target; undefined if none of them accepts requests
   */
  findReturnTarget(
    service: string,
    left: readonly string[],
    version: string | undefined,
    allowed?: AllowedRegions,
  ): ReturnTarget | undefined {
    if (left.length === 0) return undefined;
    const { coldTargets } = this.dependencies;
    const returnable = this.listAccepting(service, allowed)
      .filter((target) => left.includes(target.id) && coldTargets.mayReceive(target))
      .filter((target) => version === undefined || target.version === version)
      .map((target) => ({ target, responsive: this.dependencies.health.isResponsive(target.id) }));
    return returnable.find(({ responsive }) => responsive) ?? returnable[0];
  }

  /**
   * Checks whether targets of a version accept requests, whatever their load and health.
   *
   * @param service - name of the service
   * @param version - name of the version
   * @param allowed - regions in which the stream may run; undefined if any will do
   * @returns whether streams of the version can be continued
   */
  hasVersion(service: string, version: string, allowed?: AllowedRegions): boolean {
    return this.listAccepting(service, allowed).some((target) => target.version === version);
  }

  /**
   * Lists the targets that work can be planned for: they accept new requests, look healthy to this host and aren't cold.
   *
   * @param service - name of the service
   * @param allowed - regions in which the work may run; undefined if any will do
   * @returns the targets
   */
  listSteady(service: string, allowed: AllowedRegions | undefined): Target[] {
    const { coldTargets, health } = this.dependencies;
    return this.listAccepting(service, allowed).filter(
      (target) => health.isUsable(target.id) && !coldTargets.isCold(target),
    );
  }

  /**
   * Lists the targets that accept new requests, whatever their load and health. Every choice of a target starts here, so
   * that nothing is sent to a target that isn't listed.
   */
  private listAccepting(service: string, allowed: AllowedRegions | undefined): Target[] {
    const { evacuations, regions } = this.dependencies;
    return this.listServing(service).filter(
      (target) =>
        !evacuations.includes(target) && isAllowed(target.failureDomain, allowed, regions),
    );
  }

  /** Lists the targets that would accept new requests if none were forbidden. */
  private listServing(service: string): Target[] {
    const { targets, drainingTargets } = this.dependencies;
    return targets.listReady(service).filter((target) => !drainingTargets.includes(target));
  }

  /** Checks whether a request has no target only because all of them are forbidden to it. */
  private isOnlyForbidden(
    service: string,
    version: string | undefined,
    allowed: AllowedRegions | undefined,
  ): boolean {
    const hasVersion = (target: Target): boolean =>
      version === undefined || target.version === version;
    return (
      !this.listAccepting(service, allowed).some(hasVersion) &&
      this.listServing(service).some(hasVersion)
    );
  }

  private drawForOnline(
    candidates: readonly Candidate[],
    excluded: OnlineCriteria['excluded'],
    isContinuation: boolean,
  ): TargetChoice {
    const { failureDomain } = this.dependencies.identity;
    const preferred = this.preferWarm(
      candidates,
      (candidate) => !excluded.has(candidate.target.id) && countFreeSlots(candidate) > 0,
    );
    const { random } = Math;
    return chooseTarget({
      candidates: preferred,
      failureDomain,
      excluded,
      isContinuation,
      random,
    });
  }

  private drawForBatch(
    candidates: readonly Candidate[],
    criteria: Pick<BatchCriteria, 'allowanceOf' | 'isUrgent'>,
  ): Target | undefined {
    const { failureDomain } = this.dependencies.identity;
    const preferred = this.preferWarm(
      candidates,
      (candidate) => criteria.allowanceOf(candidate) > 0,
    );
    const { random } = Math;
    return chooseBatchTarget({ candidates: preferred, failureDomain, random, ...criteria });
  }

  /** Leaves out cold targets while a warm one that looks healthy has room. */
  private preferWarm(
    candidates: readonly Candidate[],
    hasRoom: (candidate: Candidate) => boolean,
  ): readonly Candidate[] {
    const { coldTargets } = this.dependencies;
    const warm = candidates.filter(({ target }) => !coldTargets.isCold(target));
    return warm.length === candidates.length ||
      warm.some((candidate) => looksHealthy(candidate) && hasRoom(candidate))
      ? warm
      : candidates;
  }

  /** Checks whether a request could be sent to a cold target if this host had not used up its share. */
  private hasDeferredTarget(
    service: string,
    excluded: ReadonlySet<string>,
    version: string | undefined,
    allowed: AllowedRegions | undefined,
  ): boolean {
    const { coldTargets } = this.dependencies;
    return this.listAccepting(service, allowed).some(
      (target) =>
        !excluded.has(target.id) &&
        (version === undefined || target.version === version) &&
        !coldTargets.mayReceive(target),
    );
  }

  /** Lists the targets to which this host may send a request now. */
  private listCandidates(
    service: string,
    version: string | undefined,
    allowed: AllowedRegions | undefined,
    size?: RequestSize,
  ): Candidate[] {
    const { coldTargets } = this.dependencies;
    const ready = this.listAccepting(service, allowed).filter(
      (target) =>
        (version === undefined || target.version === version) && coldTargets.mayReceive(target),
    );
    return this.describe(ready, size);
  }

  private describe(ready: readonly Target[], size: RequestSize | undefined): Candidate[] {
    const { loadTable, health, outlook } = this.dependencies;
    const now = performance.now();
    const unreliable = health.findUnreliable(ready.map(({ id }) => id));
    return ready.map((target) => ({
      target,
      load: loadTable.totalLoad(target.id),
      usable: health.isUsable(target.id) && !unreliable.has(target.id),
      responsive: health.isResponsive(target.id),
      unresponsiveReports: loadTable.countUnresponsiveReports(target.id),
      ...outlook?.describe(target, size, now),
    }));
  }
}
