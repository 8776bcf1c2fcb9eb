/** Keeps the recent online load of each service, in which pulses are found. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { TargetList } from '../fleet/TargetList.js';
import type { LoadTable } from '../routing/LoadTable.js';
import { findPulses, type LoadSample, type Pulses } from './findPulses.js';

/** Time between two samples. Unit: ms. */
const SAMPLE_INTERVAL_MS = 100;

/** Number of samples that are kept: four pulses that come every seven seconds. */
const MAX_SAMPLES = 300;

/** Dependencies of {@link PulseHistory}. */
export interface PulseHistoryDependencies {
  readonly targets: Pick<TargetList, 'list'>;
  readonly loadTable: Pick<LoadTable, 'totalLoad'>;
  readonly journal: Journal;
}

export class PulseHistory {
  private readonly samplesByService = new Map<string, LoadSample[]>();

  private readonly pulsesByService = new Map<string, Pulses>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: PulseHistoryDependencies) {}

  /** Starts to take samples. */
  start(): void {
    this.timer = setInterval(() => this.sample(performance.now()), SAMPLE_INTERVAL_MS);
  }

  /** Takes no further samples. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Takes a sample of each service with targets that are ready. Others are forgotten.
   *
   * @param now - monotonic time. Unit: ms
   */
  sample(now: number): void {
    const { targets, loadTable } = this.dependencies;
    const loads = new Map<string, { online: number; slots: number }>();
    targets
      .list()
      .filter(({ state }) => state === 'ready')
      .forEach(({ id, service, slots }) => {
        const load = loads.get(service) ?? { online: 0, slots: 0 };
        load.online += loadTable.totalLoad(id).online;
        load.slots += slots;
        loads.set(service, load);
      });
    [...this.samplesByService.keys()]
      .filter((service) => !loads.has(service))
      .forEach((service) => {
        this.samplesByService.delete(service);
        this.pulsesByService.delete(service);
      });
    loads.forEach(({ online, slots }, service) => {
      const samples = this.samplesByService.get(service) ?? [];
      if (samples.length >= MAX_SAMPLES) samples.shift();
      samples.push({ at: now, level: slots > 0 ? online / slots : 0 });
      this.samplesByService.set(service, samples);
      this.update(service, findPulses(samples));
    });
  }

  /**
   * Returns the pulses of a service as of the latest sample.
   *
   * @param service - name of the service
   * @returns the pulses; undefined if none were observed
   */
  find(service: string): Pulses | undefined {
    return this.pulsesByService.get(service);
  }

  private update(service: string, pulses: Pulses | undefined): void {
    const { journal } = this.dependencies;
    const wasKnown = this.pulsesByService.has(service);
    if (!pulses) {
      this.pulsesByService.delete(service);
      if (wasKnown) journal.record('pulses-lost', { service });
      return;
    }
    this.pulsesByService.set(service, pulses);
    if (wasKnown) return;
    const { level, valleyLevel, pulseMs, valleyMs } = pulses;
    journal.record('pulses-found', {
      service,
      level: Number(level.toFixed(2)),
      valleyLevel: Number(valleyLevel.toFixed(2)),
      pulseMs: Math.round(pulseMs),
      valleyMs: Math.round(valleyMs),
    });
  }
}
