/** Failure domains whose targets get no work at the operator's request. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Target } from './Target.js';
import type { TargetList } from './TargetList.js';

/** Dependencies of {@link Evacuations}. */
export interface EvacuationsDependencies {
  readonly targets: Pick<TargetList, 'list' | 'onChange'>;
  readonly journal: Pick<Journal, 'record'>;
}

/**
 * Tracks the evacuated failure domains as the store lists them. During an outage of the store the last known ones stay
 * evacuated.
 */
export class Evacuations {
  private readonly domains = new Set<string>();

  /** Evacuated failure domains that were reported to have no targets. */
  private readonly reportedUnknown = new Set<string>();

  private readonly endListeners: ((domain: string) => void)[] = [];

  constructor(private readonly dependencies: EvacuationsDependencies) {
    dependencies.targets.onChange(() => this.reportUnknown());
  }

  /**
   * Adds a listener for the ends of evacuations.
   *
   * @param listener - called with the failure domain whose targets get work again
   */
  onEnd(listener: (domain: string) => void): void {
    this.endListeners.push(listener);
  }

  /**
   * Replaces all evacuations.
   *
   * @param domains - the evacuated failure domains
   */
  replace(domains: readonly string[]): void {
    [...this.domains]
      .filter((domain) => !domains.includes(domain))
      .forEach((domain) => this.end(domain));
    domains.forEach((domain) => this.begin(domain));
  }

  /**
   * Evacuates a failure domain. Requests and items that run there continue.
   *
   * @param domain - name of the failure domain
   */
  begin(domain: string): void {
    if (this.domains.has(domain)) return;
    this.domains.add(domain);
    this.dependencies.journal.record('evacuation-begun', {
      failureDomain: domain,
      targets: this.countTargets(domain),
    });
    this.reportUnknown();
  }

  /**
   * Ends the evacuation of a failure domain.
   *
   * @param domain - name of the failure domain
   */
  end(domain: string): void {
    if (!this.domains.delete(domain)) return;
    this.reportedUnknown.delete(domain);
    this.dependencies.journal.record('evacuation-ended', {
      failureDomain: domain,
      targets: this.countTargets(domain),
    });
    this.endListeners.forEach((listener) => listener(domain));
  }

  /**
   * Checks whether a target is in an evacuated failure domain.
   *
   * @param target - the target
   * @returns true if nothing may be sent to it
   */
  includes({ failureDomain }: Pick<Target, 'failureDomain'>): boolean {
    return this.domains.has(failureDomain);
  }

  private countTargets(domain: string): number {
    return this.dependencies.targets.list().filter(({ failureDomain }) => failureDomain === domain)
      .length;
  }

  /** Reports evacuated failure domains without targets once. They can't be told from misspelled ones before targets are known. */
  private reportUnknown(): void {
    if (this.domains.size === 0) return;
    const { targets, journal } = this.dependencies;
    const known = new Set(targets.list().map(({ failureDomain }) => failureDomain));
    if (known.size === 0) return;
    this.domains.forEach((domain) => {
      if (known.has(domain) || this.reportedUnknown.has(domain)) return;
      this.reportedUnknown.add(domain);
      journal.record('evacuation-unknown-domain', {
        failureDomain: domain,
        known: [...known].sort(),
      });
    });
  }
}
