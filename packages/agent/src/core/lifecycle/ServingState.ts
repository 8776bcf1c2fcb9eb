/** Decides whether new requests are accepted. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { defaultSettings, type InheritedSettings } from '@jacinthlug/settings/tree/declarations';
import type { TargetMonitor } from '../target/TargetMonitor.js';

/**
 * Decides whether new requests are accepted, from the state of the process, the target, the host
 * list and the tree.
 */
export class ServingState {
  private stopRequestedAt: number | undefined;

  private drainingSince: number | undefined;

  constructor(
    private readonly settings: AgentSettings,
    private readonly follower: ConfigurationFollower,
    private readonly membership: Membership,
    private readonly monitor: TargetMonitor,
  ) {}

  /** Records the first request to stop. */
  requestStop(): void {
    this.stopRequestedAt ??= performance.now();
  }

  get isStopping(): boolean {
    return this.stopRequestedAt !== undefined;
  }

  /**
   * Returns the settings of the target's service.
   *
   * @returns the effective settings; the defaults before the first configuration
   */
  getServiceSettings(): InheritedSettings {
    const service = this.follower.latest()?.services.get(this.settings.target.service);
    return service?.settings ?? defaultSettings;
  }

  /**
   * Returns the state for load reports.
   *
   * @returns the state
   */
  getState(): 'serving' | 'leaving' | 'down' {
    if (this.isDraining() || this.isStopping) return 'leaving';
    return this.monitor.isUp ? 'serving' : 'down';
  }

  /**
   * Checks whether new requests are refused. A draining host accepts requests for the grace period,
   * so that entry hosts learn of the drain before their requests are refused.
   *
   * @returns the refusal; undefined when requests are accepted
   */
  getRefusal(): Refusal | undefined {
    const { graceMs } = this.settings;
    const now = performance.now();
    const isDraining = this.isDraining();
    if (this.stopRequestedAt !== undefined && now - this.stopRequestedAt >= graceMs) {
      return refuse('stopping');
    }
    if (isDraining && now - (this.drainingSince ?? now) >= graceMs) return refuse('target-leaving');
    return this.monitor.isUp ? undefined : refuse('no-target');
  }

  private isDraining(): boolean {
    const isDraining = this.isDrained() || this.isListedAsDraining();
    if (isDraining) this.drainingSince ??= performance.now();
    else this.drainingSince = undefined;
    return isDraining;
  }

  private isDrained(): boolean {
    const domain = this.follower.latest()?.failureDomains.get(this.settings.failureDomain);
    return this.getServiceSettings().drained || domain?.settings.drained === true;
  }

  private isListedAsDraining(): boolean {
    const self = this.membership.all().find(({ name }) => name === this.settings.name);
    return self?.state === 'leaving';
  }
}
