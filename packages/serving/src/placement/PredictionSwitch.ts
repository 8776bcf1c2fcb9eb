/**
 * Decides for which services targets are compared by predicted times: those whose targets or requests differ so much that
 * comparing numbers of requests makes callers wait.
 */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Target } from '../fleet/Target.js';
import type { WorkLedger } from './WorkLedger.js';

/** Wait for a wrong comparison from which times are predicted: a tenth of the usual objective of 300 ms. Unit: ms. */
const BEGIN_MS = 30;

/** Wait for a wrong comparison below which numbers of requests are compared again. Unit: ms. */
const END_MS = 15;

/** Time between two decisions on a service. Unit: ms. */
const DECISION_INTERVAL_MS = 500;

/** Dependencies of {@link PredictionSwitch}. */
export interface PredictionSwitchDependencies {
  readonly ledger: Pick<WorkLedger, 'differences' | 'times'>;
  readonly journal: Pick<Journal, 'record'>;
}

interface Decision {
  predicts: boolean;
  /** Monotonic time of the next decision. Unit: ms. */
  nextAt: number;
}

/** Decisions of this host, each from its own observations. */
export class PredictionSwitch {
  private readonly decisionsByService = new Map<string, Decision>();

  constructor(private readonly dependencies: PredictionSwitchDependencies) {}

  /**
   * Checks whether times are predicted for the targets of a service.
   *
   * @param target - one of its targets
   * @param now - monotonic time. Unit: ms
   * @returns whether they are; false until enough has been learned
   */
  predicts(target: Pick<Target, 'service' | 'slots'>, now: number): boolean {
    const { service } = target;
    const decision = this.decisionsByService.get(service) ?? { predicts: false, nextAt: now };
    if (now < decision.nextAt) return decision.predicts;
    this.decisionsByService.set(service, decision);
    decision.nextAt = now + DECISION_INTERVAL_MS;
    const waitMs = this.estimateWrongWaitMs(target, now);
    // A service without recent responses keeps its decision, as its targets may still differ.
    if (waitMs === undefined) return decision.predicts;
    const predicts = waitMs >= (decision.predicts ? END_MS : BEGIN_MS);
    if (predicts !== decision.predicts) {
      const facts = { service, predicts, waitMs: Math.round(waitMs) };
      this.dependencies.journal.record('placement-comparison-changed', facts);
    }
    decision.predicts = predicts;
    return predicts;
  }

  /**
   * Estimates by how much the first events at two targets with the same number of requests typically differ, for a request
   * that waits for one slot. The work left at a target is the sum over its slots, so that costs differ less there.
   */
  private estimateWrongWaitMs(
    { service, slots: ownSlots }: Pick<Target, 'service' | 'slots'>,
    now: number,
  ): number | undefined {
    const { differences, times } = this.dependencies.ledger;
    const slots = differences.meanSlots(service) ?? ownSlots;
    const pace = differences.paceDeviation(service, now);
    const cost = differences.costDeviation(service, now);
    if (pace === undefined && cost === undefined) return undefined;
    const slotEndIntervalMs = times.meanHoldMs(service, now) / (slots + 1);
    const byPaceMs = (pace ?? 0) * (times.meanFirstMs(service, now) + slotEndIntervalMs);
    const byCostMs = ((cost ?? 0) / Math.sqrt(slots)) * slotEndIntervalMs;
    return Math.SQRT2 * Math.hypot(byPaceMs, byCostMs);
  }
}
