/** Reports the load of the target. */
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { TargetSlots } from '../admission/TargetSlots.js';
import type { ServedModels } from '../target/ServedModels.js';
import type { ServingState } from './ServingState.js';

/** Reports the load of the target. */
export class LoadReporter {
  constructor(
    private readonly target: AgentSettings['target'],
    private readonly slots: TargetSlots,
    private readonly models: ServedModels,
    private readonly serving: ServingState,
  ) {}

  /**
   * Creates a report of the current load.
   *
   * @returns the report
   */
  report(): TargetLoadReport {
    return {
      target: this.target.name,
      service: this.target.service,
      state: this.serving.getState(),
      running: this.slots.onlineCount,
      waiting: this.slots.waitingCount,
      batch: this.slots.batchCount,
      concurrency: this.serving.getServiceSettings().concurrency,
      expectedWaitMs: Math.round(this.slots.expectedWaitMs()),
      models: [...this.models.listInService()],
    };
  }
}
