/** Checks targets that requests have left while they were silent. */
import type { Target } from '../fleet/Target.js';
import { HealthChecks, type HealthChecksDependencies } from './HealthChecks.js';

/** Dependencies of {@link SilentTargets}. */
export interface SilentTargetsDependencies extends HealthChecksDependencies {
  /** Returns the path of the health checks of a service; undefined if it has none. */
  readonly findHealthPath: (service: string) => string | undefined;
}

/** Identifies an incarnation of a target. */
const getKey = ({ id, address, bornAt }: Target): string => `${id}@${address}/${bornAt}`;

/**
 * Checks whether targets that requests have left while they were silent respond again. A request that is at another silent target
 * meanwhile can then return before its deadline. A target that responds to the first check is only slow, and a request that
 * returned to it would start anew.
 */
export class SilentTargets {
  private readonly checksByTarget = new Map<string, HealthChecks>();

  constructor(private readonly dependencies: SilentTargetsDependencies) {}

  /**
   * Checks a target until it responds, or no request waits for it. Its recovery is recorded as a response, which listeners of
   * {@link TargetHealth.onRecovery} are told of.
   *
   * @param target - the target
   * @returns function to call when the request no longer waits for the target; further calls have no effect
   */
  watch(target: Target): () => void {
    const checks = this.getChecks(target);
    if (!checks) return () => undefined;
    checks.watchers += 1;
    checks.start();
    let isWatching = true;
    return () => {
      if (!isWatching) return;
      isWatching = false;
      checks.watchers -= 1;
      if (checks.watchers > 0) return;
      checks.stop();
      this.checksByTarget.delete(getKey(target));
    };
  }

  private getChecks(target: Target): HealthChecks | undefined {
    const existing = this.checksByTarget.get(getKey(target));
    if (existing) return existing;
    const path = this.dependencies.findHealthPath(target.service);
    if (path === undefined) return undefined;
    const checks = new HealthChecks(target, path, this.dependencies);
    this.checksByTarget.set(getKey(target), checks);
    return checks;
  }
}
