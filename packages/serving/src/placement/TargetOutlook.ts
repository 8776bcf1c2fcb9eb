/** Combines what this host knows of a target into a prediction for one more request. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { Target } from '../fleet/Target.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { TargetChoice } from '../routing/chooseTarget.js';
import { forecastTarget, type TargetForecast } from './forecastTarget.js';
import type { PredictionSwitch } from './PredictionSwitch.js';
import type { RequestSize } from './RequestSize.js';
import type { PlacementStrategy } from './strategies.js';
import type { WorkLedger } from './WorkLedger.js';

/** Dependencies of {@link TargetOutlook}. */
export interface TargetOutlookDependencies {
  readonly strategy: PlacementStrategy;
  readonly loadTable: LoadTable;
  readonly ledger: WorkLedger;
  /** Decides for which services times are predicted; undefined if they are for all. */
  readonly predictionSwitch: Pick<PredictionSwitch, 'predicts'> | undefined;
  readonly metrics: Pick<Metrics, 'count' | 'observe'>;
}

/** What is expected of a target. */
export interface Outlook {
  /** Time per event as a multiple of the mean of the service. */
  readonly pace: number;
  readonly forecast: TargetForecast;
}

/** Predicts times at targets. */
export class TargetOutlook {
  constructor(private readonly dependencies: TargetOutlookDependencies) {}

  /**
   * Predicts the times of one more online request at a target.
   *
   * @param target - the target
   * @param size - size of the request; undefined if its caller states none
   * @param now - monotonic time. Unit: ms
   * @returns the prediction; undefined if the targets of its service are compared by numbers of requests
   */
  describe(target: Target, size: RequestSize | undefined, now: number): Outlook | undefined {
    const { strategy, loadTable, ledger, predictionSwitch } = this.dependencies;
    if (predictionSwitch?.predicts(target, now) === false) return undefined;
    const { service } = target;
    const load = loadTable.totalLoad(target.id);
    const reported = loadTable.reportedWork(target.id, now);
    const pace = ledger.relativePace(target, now);
    const forecast = forecastTarget({
      slots: target.slots,
      online: load.online,
      batch: load.batch,
      reportedOnline: reported.online,
      reportAgeMs: reported.ageMs,
      workLeftMs: strategy.usesCost
        ? reported.workLeftMs + ledger.workLeftMs(target, now)
        : undefined,
      pace,
      meanHoldMs: ledger.times.meanHoldMs(service, now),
      meanFirstMs: ledger.times.meanFirstMs(service, now),
      ownHoldMs: ledger.estimateHoldMs(service, size, now),
    });
    return { pace, forecast };
  }

  /**
   * Counts a choice and the wait that it expects.
   *
   * @param choice - result of the selection
   */
  recordChoice(choice: TargetChoice): void {
    const { metrics } = this.dependencies;
    metrics.count('placement.choices', { outcome: choice.kind });
    if (choice.kind === 'target') metrics.observe('placement.wait', choice.expectedWaitMs);
  }
}
